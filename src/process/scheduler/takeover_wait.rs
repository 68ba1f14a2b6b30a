//! The wait of a new leader for the guards on whose workers runs of earlier leaders may go on.

use {super::Scheduler, crate::prelude::*};

impl Scheduler {
    /// Returns the number of guards that have not reported all runs since the takeover.
    pub fn unreported_guard_count(&self) -> usize {
        self.unreported_guards.len()
    }

    /// Returns whether a guard that has not reported since the takeover may have a worker on which
    /// runs of earlier schedulers continue.
    pub(super) fn may_have_inherited_runs(
        &self,
        now: Millis,
    ) -> bool {
        let mut guards = self.unreported_guards.iter();
        guards.any(|name| self.may_have_inherited_runs_at(name, now))
    }

    /// Returns whether a guard may have a worker on which runs of earlier schedulers continue that
    /// it has not reported.
    pub(super) fn may_have_inherited_runs_at(
        &self,
        name: &UpstreamName,
        now: Millis,
    ) -> bool {
        let leased_at = self.upstreams.get(name).and_then(|u| u.leased_at);
        let expires_at = leased_at.map_or(Millis(0), |at| at + self.leases.expiry_delay());
        self.unreported_guards.contains(name) && now < expires_at.max(self.hold_starts_until)
    }

    /// Ends the wait for a guard, because nothing of earlier schedulers is unknown there any more.
    pub(super) fn end_wait_for(
        &mut self,
        name: &UpstreamName,
        why: &str,
    ) {
        if self.unreported_guards.remove(name) {
            let remaining = self.unreported_guards.len();
            tracing::info!(term = self.term, upstream = %name, why, remaining, "the wait for a guard after the takeover is over");
        }
    }

    /// Logs once that starts are no longer held, with the guards that have not reported until then.
    pub(super) fn log_end_of_wait(
        &mut self,
        now: Millis,
    ) {
        let is_waiting = self.may_have_inherited_runs(now);
        if self.is_waiting_for_guards && !is_waiting {
            let expired = self.unreported_guards.iter().map(UpstreamName::as_str);
            tracing::info!(term = self.term, unreported = ?expired.collect::<Vec<_>>(), "starts after the takeover are no longer held");
        }
        self.is_waiting_for_guards = is_waiting;
    }
}
