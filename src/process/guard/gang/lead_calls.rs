//! Calls about gangs that this guard leads.

use {
    super::{GangKeeper, GangRun, LedGang, Stage, bounds::MAX_KEPT_ENDS},
    crate::{
        connection::{
            Beat, CommitCall, GangEnd, GangId, GangPhase, GangReply, KnownGang, Refusal, StopCause,
        },
        prelude::*,
        process::clock::with_timeout,
    },
};

/// The longest time that a release waits until nothing runs any more.
const RELEASE_WAIT: Duration = Duration::from_secs(5);

/// The longest time that a watch waits, whatever it asks for.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

impl GangKeeper {
    /// Commits a gang: from here on it starts as a whole, or is stopped as a whole.
    pub(super) fn commit(
        self: &Rc<Self>,
        call: CommitCall,
    ) -> Result<GangReply, Refusal> {
        let now = self.clock.now();
        self.fences.borrow_mut().admit(now, call.gang)?;
        if self.led.borrow().contains_key(&call.gang) {
            return Ok(GangReply::Done);
        }
        let piece = self.pieces.borrow().get(&call.gang).cloned();
        let piece = piece.ok_or(Refusal::NotReserved)?;
        let clear = self.book.borrow().is_exclusive(call.gang) == Some(true);
        if call.pieces.is_empty() || !clear || piece.stage() != Stage::Reserved {
            return Err(Refusal::NotReserved);
        }
        let progress_ms = piece.call.work.progress_ms;
        let led = Rc::new(LedGang::new(now, call.gang, call.pieces, progress_ms));
        self.led.borrow_mut().insert(call.gang, led.clone());
        self.tasks.spawn(GangRun::new(self.clone(), led).run());
        Ok(GangReply::Done)
    }

    pub(super) fn beat(
        &self,
        beat: &Beat,
    ) -> Result<GangReply, Refusal> {
        let led = self.led.borrow().get(&beat.gang).cloned();
        let led = led.ok_or(Refusal::NotReserved)?;
        led.beat(self.clock.now(), beat)?;
        Ok(GangReply::Done)
    }

    pub(super) async fn watch(
        &self,
        gang: GangId,
        known: Option<GangPhase>,
        wait: Duration,
    ) -> Result<GangReply, Refusal> {
        let led = self.led.borrow().get(&gang).cloned();
        let led = led.ok_or(Refusal::NotReserved)?;
        led.note_watched(self.clock.now());
        let another = async {
            loop {
                let changed = led.listen();
                if Some(led.phase()) != known {
                    return;
                }
                changed.await;
            }
        };
        with_timeout(&*self.clock, wait.min(MAX_WATCH_WAIT), another).await;
        Ok(GangReply::State {
            phase: led.phase(),
            progress_ms: led.progress_ms(),
        })
    }

    /// Ends whatever a start of a job has here, for good.
    pub(super) async fn release(
        &self,
        gang: GangId,
        ownership: u32,
    ) -> Result<GangReply, Refusal> {
        self.close(gang, ownership)?;
        let led = self.led.borrow().get(&gang).cloned();
        if let Some(led) = led {
            led.decide(GangEnd::Released);
            let ended = with_timeout(&*self.clock, RELEASE_WAIT, wait_until_ended(&led)).await;
            ended.ok_or(Refusal::Worker)?;
            self.led.borrow_mut().remove(&gang);
        }
        self.stop(gang, StopCause::Released).await
    }

    /// Refuses a start of a job from now on, for its present owner.
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

    /// Tells what is known of a job, and refuses earlier owners from now on.
    pub(super) fn inspect(
        &self,
        job: JobId,
        ownership: u32,
    ) -> Result<GangReply, Refusal> {
        let now = self.clock.now();
        self.fences.borrow_mut().admit_owner(now, job, ownership)?;
        let pieces = self.pieces.borrow();
        let led = self.led.borrow();
        let mut gangs: Vec<GangId> = pieces.keys().chain(led.keys()).copied().collect();
        gangs.retain(|g| g.job == job);
        gangs.sort();
        gangs.dedup();
        let known = gangs.into_iter().map(|gang| KnownGang {
            gang,
            led: led.get(&gang).map(|l| l.pieces.clone()),
            lead: pieces
                .get(&gang)
                .filter(|p| p.stage() != Stage::Down)
                .and_then(|p| p.started_by())
                .map(|s| s.lead),
        });
        Ok(GangReply::Known(known.collect()))
    }

    /// Notes the end of a led gang, which is kept until the owner releases it.
    pub(super) fn note_gang_end(
        &self,
        led: &LedGang,
        end: &GangEnd,
    ) {
        tracing::info!(gang = %led.id, ?end, "a gang has ended");
        let mut all = self.led.borrow_mut();
        let ended = |l: &&Rc<LedGang>| l.ended_at().is_some();
        while all.values().filter(ended).count() > MAX_KEPT_ENDS {
            let oldest = all.values().filter(ended).min_by_key(|l| l.ended_at());
            let Some(oldest) = oldest.map(|l| l.id) else {
                return;
            };
            tracing::warn!(gang = %oldest, "the end of a gang is forgotten before its release");
            all.remove(&oldest);
        }
    }
}

async fn wait_until_ended(led: &LedGang) {
    loop {
        let changed = led.listen();
        if led.ended_at().is_some() {
            return;
        }
        changed.await;
    }
}
