//! How a guard concludes that its worker has ended, so that its runs are over.

use {
    super::{RunTracker, WorkerAddress},
    crate::prelude::*,
};

/// How long the worker's address must refuse connections before the worker can be considered ended:
/// several polls, so that a restart of its listener does not count.
const MIN_REFUSAL_DURATION: Duration = Duration::from_millis(600);

/// The time without a heartbeat after which a worker that refuses connections has ended, in percent
/// of the heartbeat interval. A live worker sends one heartbeat in each interval.
const HEARTBEAT_TIMEOUT_PERCENT: u32 = 140;

/// The longest lease of a worker that has announced its end. It outlasts one poll without an answer. A
/// longer one would delay the work that is left when the worker goes: its runs are over only when its
/// lease is, because it may stop listening before they end.
const LEAVING_WORKER_LEASE: Millis = Millis(2500);

/// The most by which a worker's clock may run slow, in percent.
const WORKER_CLOCK_ERROR_PERCENT: u64 = 2;

/// The time after the end of a lease until its runs have certainly ended: the worker's clock runs slow
/// also since its last answer, and it ends the runs a little later.
const LEASE_END_SLACK: Millis = Millis(100);

/// Returns how long a lease of a worker may last by other clocks.
pub fn longest_lease(lease: Millis) -> Millis {
    Millis((lease.0 * 100).div_ceil(100 - WORKER_CLOCK_ERROR_PERCENT))
}

impl RunTracker {
    /// Records that leases may have been granted until `expire_at`, by this process or one before it.
    pub fn record_leases_until(
        &mut self,
        expire_at: Millis,
    ) {
        self.leases_expire_at = self.leases_expire_at.max(expire_at + LEASE_END_SLACK);
    }

    /// Records that the worker has deregistered. It ends only afterwards, so until then, or until its
    /// lease expires, its runs go on; it is not used for new ones, and its lease is not extended.
    /// Returns whether that was the current worker: the one with `id`, and with the start time if the
    /// deregistration has it, because one of an earlier life of the ID may arrive late.
    pub fn apply_deregistration(
        &mut self,
        id: &str,
        started_at_ms: Option<u64>,
    ) -> bool {
        let is_meant = |w: &WorkerAddress| {
            *w.life.id == *id && started_at_ms.is_none_or(|at| at == w.life.started_at_ms)
        };
        if self
            .waiting_heartbeat
            .as_ref()
            .is_some_and(|h| is_meant(&h.worker))
        {
            self.waiting_heartbeat = None;
        }
        let is_known = self.worker.as_ref().is_some_and(is_meant);
        if is_known {
            self.departed = self.worker.as_ref().map(|w| w.life.clone());
            self.is_departing = true;
            if self.leases_expire_at == Millis(0) {
                self.end_worker();
            }
        }
        is_known
    }

    /// Ends a worker that has deregistered once its lease has expired. Returns whether it did.
    pub fn end_expired_departure(
        &mut self,
        now: Millis,
    ) -> bool {
        let has_ended = self.is_departing && now >= self.leases_expire_at;
        if has_ended {
            self.end_worker();
        }
        has_ended
    }

    /// Records that the worker's address, which is on this machine, has refused a connection.
    /// Returns whether the worker has therefore ended: its address has refused connections for some
    /// time, its end was announced or a heartbeat is overdue, and its lease has expired. A worker that
    /// is cut off looks the same before, as does one that stops listening before its runs end.
    pub fn record_refused_connection(
        &mut self,
        now: Millis,
        heartbeat_interval: Duration,
    ) -> bool {
        let since = *self.refused_since.get_or_insert(now);
        if self.worker.is_none() || now.since(since) < MIN_REFUSAL_DURATION {
            return false;
        }
        let heartbeat_age = now.since(self.heartbeat_at);
        let leaving_ms = self.info.as_ref().and_then(|i| i.leaving_ms);
        let has_left = leaving_ms.is_some_and(|ms| heartbeat_age >= Duration::from_millis(ms));
        let is_overdue = heartbeat_age >= heartbeat_interval * HEARTBEAT_TIMEOUT_PERCENT / 100;
        if !(self.is_departing || has_left || is_overdue) {
            return false;
        }
        self.seems_ended = true;
        if now < self.leases_expire_at {
            return false;
        }
        self.end_worker();
        true
    }

    /// Returns whether a heartbeat of `other` may end the present worker: it is the same incarnation or
    /// listens at the same address, or the present one has certainly ended or refuses connections. A
    /// worker that leaves stops listening before its runs end, so only its lease counts. Otherwise both
    /// may live, and the present one's runs go on.
    pub(super) fn is_replaceable_by(
        &self,
        other: &WorkerAddress,
        now: Millis,
    ) -> bool {
        self.worker.as_ref().is_none_or(|worker| {
            worker.life == other.life
                || worker.address == other.address
                || self.is_replaced
                || now >= self.leases_expire_at
                || self.refused_since.is_some() && !self.is_leaving()
        })
    }

    /// Uses the worker whose heartbeat waits, once nothing speaks against it. Returns whether it did.
    pub fn use_waiting_worker(
        &mut self,
        now: Millis,
    ) -> bool {
        let waiting = self.waiting_heartbeat.as_ref();
        let is_due = waiting.is_some_and(|h| self.is_replaceable_by(&h.worker, now));
        if self.is_withdrawn || !is_due {
            return false;
        }
        let heartbeat = self.waiting_heartbeat.take();
        heartbeat.is_some_and(|h| self.apply_heartbeat(h, now))
    }

    /// Clears the record of refused connections, after a call that ended in any other way.
    pub fn clear_refused_connections(&mut self) {
        self.refused_since = None;
        self.seems_ended = false;
    }

    /// Returns whether the last worker has ended and no other one has sent a heartbeat since.
    pub fn has_worker_ended(&self) -> bool {
        self.worker_ended && self.waiting_heartbeat.is_none()
    }

    /// Returns whether the worker has ended or looks so, and no other one has sent a heartbeat since.
    pub fn is_worker_gone(&self) -> bool {
        (self.worker_ended || self.seems_ended) && self.waiting_heartbeat.is_none()
    }

    /// Returns the lease that the worker is granted out of one of `lease`.
    pub(super) fn lease_to_grant(
        &self,
        lease: Millis,
    ) -> Millis {
        if self.is_leaving() {
            lease.min(LEAVING_WORKER_LEASE)
        } else {
            lease
        }
    }

    /// Returns how long the last lease that was granted to the worker still lasts.
    pub fn remaining_lease(
        &self,
        now: Millis,
    ) -> Duration {
        self.leases_expire_at.since(now)
    }

    fn end_worker(&mut self) {
        self.remove_worker();
        self.leases_expire_at = Millis(0);
        self.worker_ended = true;
    }
}
