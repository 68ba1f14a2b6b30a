//! A gang as its lead guard knows it.

use {
    super::bounds::{ORPHAN_TIMEOUT, PIECE_LEASE, PIECE_STOP_BOUND},
    crate::{
        connection::{
            Beat, GangEnd, GangId, GangPhase, PieceAddress, PieceEnd, PieceState, Refusal,
            StopCause,
        },
        prelude::*,
    },
    event_listener::{Event, EventListener},
    std::cell::Cell,
};

/// What the lead guard knows of one piece.
#[derive(Clone, Debug)]
struct PieceRecord {
    /// When the piece was last heard, or its start last sent.
    last_contact: Millis,
    /// Its last state; `None` before it was heard.
    state: Option<PieceState>,
    /// Whether its lease lapsed; nothing that it tells later counts.
    lost: bool,
    /// Whether none of its tasks runs any more.
    has_stopped: bool,
    /// The progress that a restart could use, in milliseconds of run time.
    progress_ms: Option<u64>,
}

/// A committed gang, with what is known of each piece.
#[derive(Debug)]
pub struct LedGang {
    /// The gang.
    pub id: GangId,
    /// Its pieces; the first is the lead guard's own.
    pub pieces: Vec<PieceAddress>,
    records: RefCell<Vec<PieceRecord>>,
    decided_end: RefCell<Option<GangEnd>>,
    ended_at: Cell<Option<Millis>>,
    last_watched_at: Cell<Millis>,
    changed: Event,
}

impl LedGang {
    /// Creates the record of a gang that is committed now.
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

    /// Returns what hears of the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Takes over what a piece tells of itself.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] when the piece has to stop.
    pub fn record_heartbeat(
        &self,
        now: Millis,
        beat: &Beat,
    ) -> Result<(), Refusal> {
        self.expire_leases(now);
        let mut records = self.records.borrow_mut();
        let record = records.get_mut(beat.piece as usize);
        let record = record.ok_or(Refusal::NotReserved)?;
        let over = record.lost || record.has_stopped || self.decided_end.borrow().is_some();
        if let PieceState::Ended(end) = &beat.state {
            if !record.lost && !record.has_stopped {
                record.note_end(now, end);
            }
            record.has_stopped = true;
        } else if over {
            return Err(Refusal::Fenced);
        } else {
            record.last_contact = now;
            record.progress_ms = beat.state.progress_ms();
            record.state = Some(beat.state.clone());
        }
        drop(records);
        self.update_end();
        self.changed.notify(usize::MAX);
        Ok(())
    }

    /// Notes that the start of a piece is being sent.
    pub fn record_start_sent(
        &self,
        now: Millis,
        piece: usize,
    ) {
        self.records.borrow_mut()[piece].last_contact = now;
    }

    /// Notes that a piece holds nothing and runs nothing.
    pub fn record_stopped(
        &self,
        piece: usize,
    ) {
        self.records.borrow_mut()[piece].has_stopped = true;
        self.changed.notify(usize::MAX);
    }

    /// Tells whether a piece was heard since the commit.
    pub fn has_reported(
        &self,
        piece: usize,
    ) -> bool {
        self.records.borrow()[piece].state.is_some()
    }

    /// Tells whether no task of a piece can run any more.
    pub fn is_stopped(
        &self,
        now: Millis,
        piece: usize,
    ) -> bool {
        let record = &self.records.borrow()[piece];
        record.has_stopped || now.since(record.last_contact) >= PIECE_STOP_BOUND
    }

    /// Counts pieces as lost that were not heard for the length of a lease.
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

    /// Returns when the next lease lapses.
    pub fn next_lease_expiry(&self) -> Option<Millis> {
        let records = self.records.borrow();
        let open = records.iter().filter(|r| !r.is_ended());
        let heard = open.map(|r| r.last_contact).min()?;
        Some(heard + Millis::from(PIECE_LEASE))
    }

    /// Decides how the gang ends, unless that is decided.
    pub fn decide_end(
        &self,
        end: GangEnd,
    ) {
        self.decided_end.borrow_mut().get_or_insert(end);
        self.changed.notify(usize::MAX);
    }

    /// Tells whether it is decided how the gang ends.
    pub fn is_end_decided(&self) -> bool {
        self.decided_end.borrow().is_some()
    }

    /// Notes that no task runs any more, and returns the gang's end.
    pub fn finish(
        &self,
        now: Millis,
    ) -> GangEnd {
        let progress = self.progress_ms();
        let mut verdict = self.decided_end.borrow_mut();
        let end = verdict.get_or_insert(GangEnd::Released);
        if let GangEnd::Evicted { progress_ms } | GangEnd::Lost { progress_ms, .. } = end {
            *progress_ms = progress;
        }
        let end = end.clone();
        drop(verdict);
        self.ended_at.set(Some(now));
        self.changed.notify(usize::MAX);
        end
    }

    /// Returns since when no task runs any more.
    pub fn ended_at(&self) -> Option<Millis> {
        self.ended_at.get()
    }

    /// Notes that an owner asks how the gang stands.
    pub fn record_watch(
        &self,
        now: Millis,
    ) {
        self.last_watched_at.set(now);
    }

    /// Tells whether no owner has asked for so long that none seems to know of the gang.
    pub fn is_orphan(
        &self,
        now: Millis,
    ) -> bool {
        now.since(self.last_watched_at.get()) >= ORPHAN_TIMEOUT
    }

    /// Returns where the gang is in its life.
    pub fn phase(&self) -> GangPhase {
        let verdict = self.decided_end.borrow().clone();
        let records = self.records.borrow();
        match verdict {
            Some(end) if self.ended_at.get().is_some() => GangPhase::Ended(end),
            Some(_) => GangPhase::Stopping,
            None if records.iter().all(|r| r.state.is_some()) => GangPhase::Running,
            None => GangPhase::Starting,
        }
    }

    /// Returns the least progress that all unfinished pieces could start again from.
    pub fn progress_ms(&self) -> u64 {
        let records = self.records.borrow();
        let open = records.iter().filter_map(|r| r.progress_ms);
        open.min().unwrap_or_default()
    }

    /// Decides the gang's end when the pieces bring it.
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

    fn note_end(
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

/// Returns how a gang ends whose pieces stand so; `None` while it goes on.
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

/// Returns the gang's end when a piece was stopped; its progress is worked out when all are down.
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
