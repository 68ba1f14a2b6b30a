//! A gang in the view of its leader.

use {
    super::bounds::{ORPHAN_TIMEOUT, PIECE_LEASE, PIECE_STOP_BOUND},
    crate::{
        connection::{
            GangEnd, GangId, GangPhase, PieceAddress, PieceEnd, PieceHeartbeat, PieceState,
            Refusal, StopCause,
        },
        prelude::*,
    },
    event_listener::{Event, EventListener},
    std::cell::Cell,
};

/// What the gang's leader knows about one piece.
#[derive(Clone, Debug)]
struct PieceRecord {
    /// When the last heartbeat of the piece came, or its start was last sent.
    last_contact: Millis,
    /// Its last reported state; `None` before the first report.
    state: Option<PieceState>,
    /// Whether its lease expired; of later reports only the stop of its tasks counts.
    lost: bool,
    /// Whether all of its tasks have stopped.
    has_stopped: bool,
    /// The progress that a restart could use, in milliseconds of run time.
    progress_ms: Option<u64>,
}

/// A committed gang with the state of each piece.
#[derive(Debug)]
pub struct LedGang {
    /// The gang.
    pub id: GangId,
    /// Its pieces; the first is on the leader's own worker.
    pub pieces: Vec<PieceAddress>,
    records: RefCell<Vec<PieceRecord>>,
    /// How the gang ends, from when this is decided; tasks may still run.
    decided_end: RefCell<Option<GangEnd>>,
    /// When all tasks had stopped.
    ended_at: Cell<Option<Millis>>,
    last_watched_at: Cell<Millis>,
    changed: Event,
}

impl LedGang {
    /// Creates a gang that is committed now; `progress_ms` is the progress that it starts from, in
    /// milliseconds of run time.
    pub fn new(
        now: Millis,
        id: GangId,
        pieces: Vec<PieceAddress>,
        progress_ms: u64,
    ) -> Self {
        let record = PieceRecord {
            last_contact: now,
            state: None,
            lost: false,
            has_stopped: false,
            progress_ms: Some(progress_ms),
        };
        Self {
            id,
            records: RefCell::new(vec![record; pieces.len()]),
            pieces,
            decided_end: RefCell::new(None),
            ended_at: Cell::new(None),
            last_watched_at: Cell::new(now),
            changed: Event::new(),
        }
    }

    /// Returns a listener for the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Records the state that a piece reports and renews its lease.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] when the piece has to stop, [`Refusal::NotReserved`] when the gang has
    /// no such piece.
    pub fn record_heartbeat(
        &self,
        now: Millis,
        heartbeat: &PieceHeartbeat,
    ) -> Result<(), Refusal> {
        self.expire_leases(now);
        let mut records = self.records.borrow_mut();
        let record = records.get_mut(heartbeat.piece as usize);
        let record = record.ok_or(Refusal::NotReserved)?;
        let is_over = record.lost || record.has_stopped || self.decided_end.borrow().is_some();
        if let PieceState::Ended(end) = &heartbeat.state {
            if !record.lost && !record.has_stopped {
                record.record_end(now, end);
            }
            record.has_stopped = true;
        } else if is_over {
            return Err(Refusal::Fenced);
        } else {
            record.last_contact = now;
            record.progress_ms = heartbeat.state.progress_ms();
            record.state = Some(heartbeat.state.clone());
        }
        drop(records);
        self.update_end();
        self.changed.notify(usize::MAX);
        Ok(())
    }

    /// Records that the start of a piece is being sent.
    pub fn record_start_sent(
        &self,
        now: Millis,
        piece: usize,
    ) {
        self.records.borrow_mut()[piece].last_contact = now;
    }

    /// Records that a piece holds no accelerators and runs no tasks.
    pub fn record_stopped(
        &self,
        piece: usize,
    ) {
        self.records.borrow_mut()[piece].has_stopped = true;
        self.changed.notify(usize::MAX);
    }

    /// Returns whether a piece has reported its state since the commit.
    pub fn has_reported(
        &self,
        piece: usize,
    ) -> bool {
        self.records.borrow()[piece].state.is_some()
    }

    /// Returns whether no task of a piece can still run: the piece has stopped, or its last contact
    /// was [`PIECE_STOP_BOUND`] ago.
    pub fn is_stopped(
        &self,
        now: Millis,
        piece: usize,
    ) -> bool {
        let record = &self.records.borrow()[piece];
        record.has_stopped || now.since(record.last_contact) >= PIECE_STOP_BOUND
    }

    /// Marks the pieces whose lease has expired as lost.
    pub fn expire_leases(
        &self,
        now: Millis,
    ) {
        let mut records = self.records.borrow_mut();
        for record in records.iter_mut().filter(|r| !r.is_ended()) {
            record.lost |= now.since(record.last_contact) >= PIECE_LEASE;
        }
        drop(records);
        self.update_end();
    }

    /// Returns when the next lease expires; `None` when all pieces have ended.
    pub fn next_lease_expiry(&self) -> Option<Millis> {
        let records = self.records.borrow();
        let unfinished = records.iter().filter(|r| !r.is_ended());
        let oldest_contact = unfinished.map(|r| r.last_contact).min()?;
        Some(oldest_contact + Millis::from(PIECE_LEASE))
    }

    /// Decides how the gang ends, unless its end is decided already.
    pub fn decide_end(
        &self,
        end: GangEnd,
    ) {
        self.decided_end.borrow_mut().get_or_insert(end);
        self.changed.notify(usize::MAX);
    }

    /// Returns whether the gang's end is decided.
    pub fn is_end_decided(&self) -> bool {
        self.decided_end.borrow().is_some()
    }

    /// Records that no task runs any more, and returns the gang's end.
    pub fn finish(
        &self,
        now: Millis,
    ) -> GangEnd {
        let progress = self.progress_ms();
        let mut decided_end = self.decided_end.borrow_mut();
        let end = decided_end.get_or_insert(GangEnd::Released);
        if let GangEnd::Evicted { progress_ms } | GangEnd::Lost { progress_ms, .. } = end {
            *progress_ms = progress;
        }
        let end = end.clone();
        drop(decided_end);
        self.ended_at.set(Some(now));
        self.changed.notify(usize::MAX);
        end
    }

    /// Returns when all tasks had stopped; `None` while some may run.
    pub fn ended_at(&self) -> Option<Millis> {
        self.ended_at.get()
    }

    /// Records that an owner watches the gang.
    pub fn record_watch(
        &self,
        now: Millis,
    ) {
        self.last_watched_at.set(now);
    }

    /// Returns whether no owner has watched the gang for [`ORPHAN_TIMEOUT`].
    pub fn is_orphan(
        &self,
        now: Millis,
    ) -> bool {
        now.since(self.last_watched_at.get()) >= ORPHAN_TIMEOUT
    }

    /// Returns the gang's current phase.
    pub fn phase(&self) -> GangPhase {
        let decided_end = self.decided_end.borrow().clone();
        let records = self.records.borrow();
        match decided_end {
            Some(end) if self.ended_at.get().is_some() => GangPhase::Ended(end),
            Some(_) => GangPhase::Stopping,
            None if records.iter().all(|r| r.state.is_some()) => GangPhase::Running,
            None => GangPhase::Starting,
        }
    }

    /// Returns the progress that a restart could use, in milliseconds of run time: the least of all
    /// pieces that have neither finished nor failed.
    pub fn progress_ms(&self) -> u64 {
        let records = self.records.borrow();
        let progress = records.iter().filter_map(|r| r.progress_ms);
        progress.min().unwrap_or_default()
    }

    /// Decides the gang's end if it follows from the states of the pieces.
    fn update_end(&self) {
        let end = gang_end(&self.records.borrow());
        if let Some(end) = end {
            self.decide_end(end);
        }
    }
}

impl PieceRecord {
    fn is_ended(&self) -> bool {
        matches!(self.state, Some(PieceState::Ended(_)))
    }

    fn record_end(
        &mut self,
        now: Millis,
        end: &PieceEnd,
    ) {
        let state = PieceState::Ended(end.clone());
        self.last_contact = now;
        self.progress_ms = state.progress_ms();
        self.state = Some(state);
    }
}

/// Returns the end that follows from the states of a gang's pieces; `None` while the gang runs.
fn gang_end(records: &[PieceRecord]) -> Option<GangEnd> {
    let mut finished = Vec::new();
    for (piece, record) in (0..).zip(records) {
        match &record.state {
            Some(PieceState::Ended(PieceEnd::Failed(reason))) => {
                let reason = reason.clone();
                return Some(GangEnd::Failed { reason, piece });
            }
            Some(PieceState::Ended(PieceEnd::Stopped { cause, .. })) => {
                return Some(stopped_end(*cause, piece));
            }
            Some(PieceState::Ended(PieceEnd::Finished(result))) => finished.push(result),
            _ if record.lost => return Some(stopped_end(StopCause::LeaseLapsed, piece)),
            _ => {}
        }
    }
    if finished.len() < records.len() {
        return None;
    }
    finished.first().map(|r| GangEnd::Finished((*r).clone()))
}

/// Returns the gang's end after a piece was stopped. [`LedGang::finish`] sets its progress when all
/// pieces have stopped.
fn stopped_end(
    cause: StopCause,
    piece: u32,
) -> GangEnd {
    match cause {
        StopCause::Evicted => GangEnd::Evicted { progress_ms: 0 },
        StopCause::Released => GangEnd::Released,
        _ => GangEnd::Lost {
            progress_ms: 0,
            cause,
            piece,
        },
    }
}
