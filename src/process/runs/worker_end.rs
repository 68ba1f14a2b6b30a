//! How a guard concludes that its worker has ended, so that its runs are over.

use {super::RunTracker, crate::prelude::*};

/// How long the worker's address must refuse connections before the worker can be considered ended:
/// several polls, so that a restart of its listener does not count.
const MIN_REFUSAL_DURATION: Duration = Duration::from_millis(600);

/// The time without a heartbeat after which a worker that refuses connections has ended, in percent
/// of the heartbeat interval. A live worker sends one heartbeat in each interval.
const HEARTBEAT_TIMEOUT_PERCENT: u32 = 140;

/// The most by which a worker's clock may run slow, in percent.
pub const WORKER_CLOCK_ERROR_PERCENT: u64 = 2;

impl RunTracker {
    /// Takes into account that a process before this one may have granted leases until `expire_at`.
    pub fn assume_leases_until(
        &mut self,
        expire_at: Millis,
    ) {
        self.leases_expire_at = self.leases_expire_at.max(expire_at);
    }

    /// Records that the worker has deregistered. It ends only afterwards, so until then, or until its
    /// lease expires, its runs go on; it is not used for new ones, and its lease is not extended.
    /// Returns whether `id` was the current worker.
    pub fn apply_deregistration(
        &mut self,
        id: &str,
    ) -> bool {
        if self
            .waiting_heartbeat
            .as_ref()
            .is_some_and(|h| &*h.worker.life.id == id)
        {
            self.waiting_heartbeat = None;
        }
        let is_known = self.worker.as_ref().is_some_and(|w| &*w.life.id == id);
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
    /// time, a heartbeat is overdue or the remaining time that it announced is over, and its lease
    /// has expired. Until then a worker that is only cut off looks the same, also one that has
    /// deregistered or announced its end.
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
        let is_due = leaving_ms.is_some_and(|ms| heartbeat_age >= Duration::from_millis(ms));
        if !is_due && heartbeat_age < heartbeat_interval * HEARTBEAT_TIMEOUT_PERCENT / 100 {
            return false;
        }
        self.seems_ended = true;
        if now < self.leases_expire_at {
            return false;
        }
        self.end_worker();
        true
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
