//! Follows a committed gang to its end.

use {
    super::{JobRun, PlacedGang},
    crate::{
        connection::{GangEnd, GangPhase, GangReply, GangRequest, GuardReply},
        prelude::*,
        process::entry::Entry,
    },
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
};

/// How long one call waits for the gang's next change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The longest time that a call may take beyond its wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause before a failed call is sent again.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long a lead guard may not answer before the gang counts as lost.
const LEADER_GUARD_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a gang in a region that is cut off is left to run.
const REGION_OUTAGE_TIMEOUT: Duration = Duration::from_secs(2 * 3600);

/// What came of following a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum FollowOutcome {
    /// The gang has ended.
    Ended(GangEnd),
    /// The lead guard is gone, or does not know the gang.
    Lost,
    /// The job's task has to leave its course.
    Interrupted,
}

impl PlacedGang {
    /// Follows the gang until it ends or the job's task is interrupted.
    pub(super) async fn follow(
        &self,
        run: &JobRun,
    ) -> FollowOutcome {
        let watching = self.watch_and_preempt(run);
        let interrupted = run.wait_for_interrupt();
        pin_mut!(watching, interrupted);
        match select(watching, interrupted).await {
            Either::Left((Some(end), _)) => FollowOutcome::Ended(end),
            Either::Left((None, _)) => FollowOutcome::Lost,
            Either::Right(_) => FollowOutcome::Interrupted,
        }
    }

    /// Watches the gang, and has it give its place when the queue asks for that.
    async fn watch_and_preempt(
        &self,
        run: &JobRun,
    ) -> Option<GangEnd> {
        let watching = self.watch(&run.entry);
        let giving_way = self.preempt_when_requested(run);
        pin_mut!(watching, giving_way);
        match select(watching, giving_way).await {
            Either::Left((end, _)) => end,
            Either::Right((_, watching)) => watching.await,
        }
    }

    /// Waits until the queue asks the job to give way, and has the lead guard evict the gang.
    async fn preempt_when_requested(
        &self,
        run: &JobRun,
    ) {
        run.queue_handle.asked_to_give_way().await;
        loop {
            let req = GangRequest::GiveWay { gang: self.gang };
            let reply = Self::call(&run.entry, self.leader_address(), req, CALL_TIMEOUT).await;
            if reply.is_ok() {
                return;
            }
            run.entry.clock.sleep(FOLLOW_RETRY_DELAY).await;
        }
    }

    /// Asks the lead guard until the gang has ended; `None` when the lead guard is lost.
    async fn watch(
        &self,
        entry: &Entry,
    ) -> Option<GangEnd> {
        let mut known = None;
        let mut heard = entry.clock.now();
        loop {
            let req = GangRequest::Watch {
                gang: self.gang,
                known: known.clone(),
                wait_ms: Millis::from(WATCH_WAIT).0,
            };
            match Self::call(entry, self.leader_address(), req, WATCH_WAIT + CALL_TIMEOUT).await {
                Ok(GuardReply::Gang(GangReply::State { phase, .. })) => {
                    heard = entry.clock.now();
                    if let GangPhase::Ended(end) = phase {
                        return Some(end);
                    }
                    known = Some(phase);
                }
                Ok(GuardReply::Refused(_)) => return None,
                _ if self.is_lost(entry, entry.clock.now().since(heard)) => return None,
                _ => entry.clock.sleep(FOLLOW_RETRY_DELAY).await,
            }
        }
    }

    /// Tells whether a lead guard that has been silent for a time counts as lost. When nothing of
    /// its region is heard, the region is taken to be cut off and the gang to run on.
    fn is_lost(
        &self,
        entry: &Entry,
        silence: Duration,
    ) -> bool {
        let now = entry.clock.now();
        let lead = self.leader_address();
        let members = entry.members.borrow();
        let cut_off = self.region.as_ref().is_some_and(|region| {
            let live = members.live(now);
            let mut others = live.iter().filter(|u| u.guard_address != lead);
            !others.any(|u| u.region == *region)
        });
        let patience = if cut_off {
            REGION_OUTAGE_TIMEOUT
        } else {
            LEADER_GUARD_TIMEOUT
        };
        silence >= patience
    }
}
