//! Requests about gangs that this guard leads.

use {
    super::{GangManager, GangRun, LedGang, PieceStage, bounds::MAX_RETAINED_ENDS},
    crate::{
        connection::{
            CommitCall, GangEnd, GangId, GangPhase, GangReply, KnownGang, PieceHeartbeat, Refusal,
            StopCause,
        },
        prelude::*,
        process::clock::with_timeout,
    },
};

/// How long a release waits for the gang's end.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest wait of a watch, also when the request names a longer one.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

impl GangManager {
    /// Commits a gang: from now on it is started as a whole or stopped as a whole.
    pub(super) fn commit(
        self: &Rc<Self>,
        call: CommitCall,
    ) -> Result<GangReply, Refusal> {
        let now = self.clock.now();
        self.fences.borrow_mut().admit(now, call.gang)?;
        if self.led_gangs.borrow().contains_key(&call.gang) {
            return Ok(GangReply::Done);
        }
        let piece = self.pieces.borrow().get(&call.gang).cloned();
        let piece = piece.ok_or(Refusal::NotReserved)?;
        let exclusive = self.accelerators.borrow().is_exclusive(call.gang) == Some(true);
        if call.pieces.is_empty() || !exclusive || piece.stage() != PieceStage::Reserved {
            return Err(Refusal::NotReserved);
        }
        let progress_ms = piece.reservation.work.progress_ms;
        let led_gang = Rc::new(LedGang::new(now, call.gang, call.pieces, progress_ms));
        self.led_gangs
            .borrow_mut()
            .insert(call.gang, led_gang.clone());
        self.tasks.spawn(GangRun::new(self.clone(), led_gang).run());
        Ok(GangReply::Done)
    }

    pub(super) fn handle_heartbeat(
        &self,
        heartbeat: &PieceHeartbeat,
    ) -> Result<GangReply, Refusal> {
        let led_gang = self.led_gangs.borrow().get(&heartbeat.gang).cloned();
        let led_gang = led_gang.ok_or(Refusal::NotReserved)?;
        led_gang.record_heartbeat(self.clock.now(), heartbeat)?;
        Ok(GangReply::Done)
    }

    pub(super) async fn watch(
        &self,
        gang: GangId,
        known: Option<GangPhase>,
        wait: Duration,
    ) -> Result<GangReply, Refusal> {
        let led_gang = self.led_gangs.borrow().get(&gang).cloned();
        let led_gang = led_gang.ok_or(Refusal::NotReserved)?;
        led_gang.record_watch(self.clock.now());
        let phase_change = async {
            loop {
                let changed = led_gang.listen();
                if Some(led_gang.phase()) != known {
                    return;
                }
                changed.await;
            }
        };
        with_timeout(&*self.clock, wait.min(MAX_WATCH_WAIT), phase_change).await;
        Ok(GangReply::State {
            phase: led_gang.phase(),
            progress_ms: led_gang.progress_ms(),
        })
    }

    /// Closes a start of a job, and ends the led gang and the piece that it has at this guard.
    pub(super) async fn release(
        &self,
        gang: GangId,
        ownership: u32,
    ) -> Result<GangReply, Refusal> {
        self.close(gang, ownership)?;
        let led_gang = self.led_gangs.borrow().get(&gang).cloned();
        if let Some(led_gang) = led_gang {
            led_gang.decide_end(GangEnd::Released);
            let ended =
                with_timeout(&*self.clock, RELEASE_TIMEOUT, wait_until_ended(&led_gang)).await;
            ended.ok_or(Refusal::Worker)?;
            self.led_gangs.borrow_mut().remove(&gang);
        }
        self.stop(gang, StopCause::Released).await
    }

    /// Refuses a start of a job and all earlier ones from now on, unless a later owner is known.
    pub(super) fn close(
        &self,
        gang: GangId,
        ownership: u32,
    ) -> Result<(), Refusal> {
        let mut fences = self.fences.borrow_mut();
        fences.admit_owner(self.clock.now(), gang.job, ownership)?;
        fences.close(gang);
        Ok(())
    }

    /// Returns the gangs of a job that this guard knows, and refuses earlier owners from now on.
    pub(super) fn inspect(
        &self,
        job: JobId,
        ownership: u32,
    ) -> Result<GangReply, Refusal> {
        let now = self.clock.now();
        self.fences.borrow_mut().admit_owner(now, job, ownership)?;
        let pieces = self.pieces.borrow();
        let led_gangs = self.led_gangs.borrow();
        let mut gangs: Vec<GangId> = pieces.keys().chain(led_gangs.keys()).copied().collect();
        gangs.retain(|g| g.job == job);
        gangs.sort();
        gangs.dedup();
        let known = gangs.into_iter().map(|gang| KnownGang {
            gang,
            led: led_gangs.get(&gang).map(|l| l.pieces.clone()),
            lead: pieces
                .get(&gang)
                .filter(|p| p.stage() != PieceStage::Ended)
                .and_then(|p| p.start_call())
                .map(|s| s.leader_address),
        });
        Ok(GangReply::Known(known.collect()))
    }

    /// Logs the end of a led gang, and drops the oldest ended gangs beyond [`MAX_RETAINED_ENDS`].
    pub(super) fn record_gang_end(
        &self,
        led_gang: &LedGang,
        end: &GangEnd,
    ) {
        tracing::info!(gang = %led_gang.id, ?end, "a gang has ended");
        let mut all = self.led_gangs.borrow_mut();
        let ended = |l: &&Rc<LedGang>| l.ended_at().is_some();
        while all.values().filter(ended).count() > MAX_RETAINED_ENDS {
            let oldest = all.values().filter(ended).min_by_key(|l| l.ended_at());
            let Some(oldest) = oldest.map(|l| l.id) else {
                return;
            };
            tracing::warn!(gang = %oldest, "dropped the end of a gang before its owner released it");
            all.remove(&oldest);
        }
    }
}

async fn wait_until_ended(led_gang: &LedGang) {
    loop {
        let changed = led_gang.listen();
        if led_gang.ended_at().is_some() {
            return;
        }
        changed.await;
    }
}
