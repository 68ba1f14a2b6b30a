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

/// How long the leader guard holds a watch call open for the gang's next change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The timeout of a call, in addition to the time that the guard holds it open.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause before a failed call is sent again.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long a leader guard may be unresponsive before the gang counts as lost.
const LEADER_GUARD_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a gang is left to run when its whole region is unreachable.
const REGION_OUTAGE_TIMEOUT: Duration = Duration::from_secs(2 * 3600);

/// The outcome of following a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum FollowOutcome {
    /// The gang has ended.
    Ended(GangEnd),
    /// The leader guard is lost, or does not know the gang.
    Lost,
    /// The job was cancelled, has ended or belongs to another entry.
    Interrupted,
}

impl PlacedGang {
    /// Follows the gang until it ends or is lost, or the job's task is interrupted.
    pub(super) async fn follow(
        &self,
        run: &JobRun,
    ) -> FollowOutcome {
        let watching = self.watch_and_preempt(run);
        let interrupt = run.wait_for_interrupt();
        pin_mut!(watching, interrupt);
        match select(watching, interrupt).await {
            Either::Left((Some(end), _)) => FollowOutcome::Ended(end),
            Either::Left((None, _)) => FollowOutcome::Lost,
            Either::Right(_) => FollowOutcome::Interrupted,
        }
    }

    /// Watches the gang, and has it evicted when the queue preempts the job; `None` when the leader
    /// guard is lost.
    async fn watch_and_preempt(
        &self,
        run: &JobRun,
    ) -> Option<GangEnd> {
        let watching = self.watch(&run.entry);
        let preempting = self.preempt_when_requested(run);
        pin_mut!(watching, preempting);
        match select(watching, preempting).await {
            Either::Left((end, _)) => end,
            Either::Right((_, watching)) => watching.await,
        }
    }

    /// Waits until the queue preempts the job, and has the leader guard evict the gang.
    async fn preempt_when_requested(
        &self,
        run: &JobRun,
    ) {
        run.queue_handle.wait_for_preemption().await;
        loop {
            let req = GangRequest::Preempt { gang: self.gang };
            let reply = Self::call(&run.entry, self.leader_address(), req, CALL_TIMEOUT).await;
            if reply.is_ok() {
                return;
            }
            run.entry.clock.sleep(FOLLOW_RETRY_DELAY).await;
        }
    }

    /// Polls the leader guard until the gang has ended; `None` when the leader guard is lost or
    /// refuses.
    async fn watch(
        &self,
        entry: &Entry,
    ) -> Option<GangEnd> {
        let mut known = None;
        let mut last_reply_at = entry.clock.now();
        loop {
            let req = GangRequest::Watch {
                gang: self.gang,
                known: known.clone(),
                wait_ms: Millis::from(WATCH_WAIT).0,
            };
            match Self::call(entry, self.leader_address(), req, WATCH_WAIT + CALL_TIMEOUT).await {
                Ok(GuardReply::Gang(GangReply::State { phase, .. })) => {
                    last_reply_at = entry.clock.now();
                    if let GangPhase::Ended(end) = phase {
                        return Some(end);
                    }
                    known = Some(phase);
                }
                Ok(GuardReply::Refused(_)) => return None,
                _ if self.is_lost(entry, entry.clock.now().since(last_reply_at)) => return None,
                _ => entry.clock.sleep(FOLLOW_RETRY_DELAY).await,
            }
        }
    }

    /// Returns whether a leader guard that has not answered for the given time counts as lost. When
    /// no other upstream of its region is live, the region is presumed to be unreachable and the
    /// gang to be still running.
    fn is_lost(
        &self,
        entry: &Entry,
        unresponsive_for: Duration,
    ) -> bool {
        let now = entry.clock.now();
        let leader = self.leader_address();
        let members = entry.members.borrow();
        let region_unreachable = self.region.as_ref().is_some_and(|region| {
            let live = members.live(now);
            let mut others = live.iter().filter(|u| u.guard_address != leader);
            !others.any(|u| u.region == *region)
        });
        let timeout = if region_unreachable {
            REGION_OUTAGE_TIMEOUT
        } else {
            LEADER_GUARD_TIMEOUT
        };
        unresponsive_for >= timeout
    }
}
