//! The durations of leases: how long guards and workers keep running without the leader.

use crate::{prelude::*, process::runs::longest_lease};

/// How long a guard extends its worker's lease without a message from the leader. Together with the
/// worker's lease it outlasts the election of another leader, so that a change of leader stops no
/// work. A longer lease would delay the next start of work whose guard is partitioned.
const GUARD_LEASE: Millis = Millis(2000);

/// How long a leader may act after it sent the last append that the store confirmed: longer than
/// several renewals, so that a short outage of the store delays no start. A longer time would delay
/// the first starts of the next leader where a guard does not report to it.
const LEADER_LEASE: Millis = Millis(3000);

/// The share of the longest permitted lease that a worker is granted, in percent. The rest covers
/// the worker's clock, which may be 2% slow, and the transit time of the call.
const WORKER_LEASE_PERCENT: u64 = 85;

/// The longest lease that a worker is granted, even where the deployment permits longer ones: a
/// longer lease would delay the next start of work whose guard is lost.
const MAX_WORKER_LEASE: Millis = Millis(5500);

/// The time that is added to the leases, for calls in transit, before they count as expired.
const LEASE_SLACK: Millis = Millis(400);

/// The durations of the leases of guards and workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTerms {
    /// How long a leader may start runs and extend leases after its last confirmed append.
    pub leader: Millis,
    /// How long a guard keeps extending its worker's lease without a message from the leader.
    pub guard: Millis,
    /// How long a worker keeps running without a call from its guard.
    pub worker: Millis,
}

impl LeaseTerms {
    /// Creates the lease durations from the longest worker lease that the deployment permits.
    pub fn new(max_lease: Millis) -> Self {
        let worker = Millis(max_lease.0 * WORKER_LEASE_PERCENT / 100);
        Self {
            leader: LEADER_LEASE,
            guard: GUARD_LEASE,
            worker: worker.min(MAX_WORKER_LEASE),
        }
    }

    /// Returns how long after a guard's last report runs on its worker may continue.
    pub fn expiry_delay(&self) -> Millis {
        self.guard + self.worker_expiry_delay()
    }

    /// Returns how long after the first append of a term runs of earlier terms may continue on the
    /// workers of guards that do not report. The store has confirmed no append of an earlier leader
    /// since, and that leader extends no lease beyond its own.
    pub fn takeover_delay(&self) -> Millis {
        self.leader + self.worker_expiry_delay()
    }

    fn worker_expiry_delay(&self) -> Millis {
        longest_lease(self.worker) + LEASE_SLACK
    }
}
