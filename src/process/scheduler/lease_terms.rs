//! How long guards and workers go on without the scheduling entry.

use crate::prelude::*;

/// How long a guard extends its worker's lease without hearing from the scheduling entry. With the
/// worker's lease it covers the choice of another entry, so that a change of the lead stops no
/// work; any longer it would delay the next start of work whose guard is cut off.
const GUARD_LEASE: Millis = Millis(2000);

/// The share of the longest lease that a worker is given, in percent; the rest covers the worker's
/// clock, which may be 2% slow, and the way of the call.
const WORKER_LEASE_PERCENT: u64 = 85;

/// The longest lease that a worker is given, where the deployment allows longer ones: a longer
/// lease would delay the next start of work whose guard is lost.
const MAX_WORKER_LEASE: Millis = Millis(5500);

/// By how much a worker's clock may be slow, in percent.
const WORKER_CLOCK_ERROR_PERCENT: u64 = 2;

/// What is added to leases for calls that are on their way.
const LEASE_SLACK: Millis = Millis(400);

/// The spans of leases, from a deployment's longest lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTerms {
    /// How long a guard goes on without the scheduling entry.
    pub guard: Millis,
    /// How long a worker goes on without its guard.
    pub worker: Millis,
}

impl LeaseTerms {
    /// Creates the terms for a deployment's longest lease of a worker.
    pub fn new(max_lease: Millis) -> Self {
        let worker = Millis(max_lease.0 * WORKER_LEASE_PERCENT / 100);
        Self {
            guard: GUARD_LEASE,
            worker: worker.min(MAX_WORKER_LEASE),
        }
    }

    /// Returns how long after a guard's last report its worker may still run something.
    pub fn expiry_delay(&self) -> Millis {
        let worker = self.worker.0 * (100 + WORKER_CLOCK_ERROR_PERCENT) / 100;
        Millis(self.guard.0 + worker) + LEASE_SLACK
    }
}
