//! The leader's lease: how long it may act after the store has last confirmed its term.

use {
    super::{Scheduler, UpstreamState},
    crate::prelude::*,
};

impl Scheduler {
    /// Extends the leader's lease, because the store has confirmed an append that was sent at
    /// `sent_at`. Until the store rejects an append, no later term can have begun before it.
    pub fn confirm_leadership(
        &mut self,
        sent_at: Millis,
    ) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Returns whether the leader's lease is valid. Without it another leader may have started the
    /// same work elsewhere.
    pub fn is_leased(
        &self,
        now: Millis,
    ) -> bool {
        now < self.lease_expires_at()
    }

    fn lease_expires_at(&self) -> Millis {
        self.confirmed_at + self.leases.leader
    }

    /// Returns the lease of a guard from the clock in its last report on; none before its first
    /// report of the session that describes its worker. The leader counts the leases of runs from such
    /// reports, and the worker may answer right after any other one. It never outlasts the leader's own
    /// lease.
    pub(super) fn guard_lease(
        &self,
        upstream: Option<&UpstreamState>,
    ) -> Millis {
        let reported = upstream.filter(|u| u.has_session_report && u.guard_clock_ms.is_some());
        let Some(reported_at) = reported.and_then(|u| u.last_report_at) else {
            return Millis(0);
        };
        let remaining = self.lease_expires_at().since(reported_at);
        self.leases.guard.min(remaining.into())
    }

    /// Returns whether the leader's lease is valid, and logs when that changes.
    pub(super) fn check_lease(
        &mut self,
        now: Millis,
    ) -> bool {
        let is_leased = self.is_leased(now);
        if is_leased != self.was_leased {
            self.was_leased = is_leased;
            tracing::info!(
                term = self.term,
                is_leased,
                "leader's lease changed; without it nothing is started"
            );
        }
        is_leased
    }
}
