//! The registrations of guards, as the ledger and the guards' reports show them.

use {super::Scheduler, crate::prelude::*};

impl Scheduler {
    /// Records the number of a guard's registration that was read from the ledger; `None` if its
    /// record is gone.
    pub fn set_stored_registration(
        &mut self,
        name: &UpstreamName,
        registration: Option<u64>,
        now: Millis,
    ) {
        let upstream = self.upstreams.entry(name.clone()).or_default();
        if upstream.stored_registration.is_none() {
            upstream.registered_at = now;
        }
        upstream.stored_registration = registration;
    }

    /// Records that the deregistrations of guards are stored before an offset of the ledger.
    pub fn confirm_deregistrations(
        &mut self,
        names: &[UpstreamName],
        end: u64,
    ) {
        for name in names {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.deregistered_before = Some(end);
            }
        }
    }

    /// Ends the deregistrations that were read back, now that the ledger is read up to an offset. A
    /// guard that has registered again meanwhile, or reports again, may be used from then on.
    pub fn finish_deregistrations(
        &mut self,
        read_to: u64,
    ) {
        for upstream in self.upstreams.values_mut() {
            if upstream
                .deregistered_before
                .is_some_and(|end| end <= read_to)
            {
                upstream.deregistered_before = None;
                upstream.is_deregistering = false;
            }
        }
    }

    /// Records that a guard has deregistered and that the leases of its worker expire at
    /// `expire_at`, so that runs of earlier schedulers there are over from then on.
    pub fn apply_departure(
        &mut self,
        name: &UpstreamName,
        expire_at: Millis,
        now: Millis,
    ) {
        if expire_at <= now {
            self.end_wait_for(name, "it has deregistered and its leases have expired");
        }
    }

    /// Returns whether a guard whose record is gone can be removed. A missing record shows nothing
    /// about the worker: its runs end by a report or by their leases, also those of earlier
    /// schedulers that this one does not know.
    pub fn is_removable(
        &self,
        name: &UpstreamName,
        now: Millis,
    ) -> bool {
        let has_no_runs = self.upstreams.get(name).is_none_or(|u| {
            let has_worker = u.is_connected && u.incarnation.is_some();
            !has_worker && u.runs.is_empty()
        });
        has_no_runs && !self.may_have_inherited_runs_at(name, now)
    }

    /// Returns the connected guards whose registration is stored under another number or not at
    /// all, although the store has confirmed it to them, each with that number.
    pub fn displaced_registrations(&self) -> Vec<(UpstreamName, u64)> {
        let connected = self.upstreams.iter().filter(|(_, u)| u.is_connected);
        let displaced = connected.filter_map(|(name, u)| {
            let reported = u.reported_registration?;
            (u.stored_registration != Some(reported)).then(|| (name.clone(), reported))
        });
        displaced.collect()
    }

    /// Marks the guards that have not reported for so long that all their leases have expired, or
    /// not since they registered, and returns them to be deregistered. Nothing is placed there until
    /// they register again. A scheduler that takes over waits for registered guards only, so it need
    /// not wait for these.
    pub fn mark_expired_guards(
        &mut self,
        now: Millis,
    ) -> Vec<UpstreamName> {
        let expiry_delay = self.leases.expiry_delay();
        let hold_starts_until = self.hold_starts_until;
        let expired = self.upstreams.iter_mut().filter(|(_, u)| {
            let expires_at = match u.last_report_at {
                Some(at) => at + expiry_delay,
                None => hold_starts_until.max(u.registered_at + expiry_delay),
            };
            !u.is_deregistering && !u.is_connected && expires_at < now
        });
        let names = expired.map(|(name, u)| {
            u.is_deregistering = true;
            name.clone()
        });
        names.collect()
    }

    /// Removes a guard that is no longer registered and has no runs.
    pub fn remove_guard(
        &mut self,
        name: &UpstreamName,
        now: Millis,
    ) {
        self.mark_worker_lost(name, now, "its guard is no longer registered");
        self.end_wait_for(name, "it is no longer registered");
        self.upstreams.remove(name);
        self.pending_orders.remove(name);
        self.messages_sent.remove(name);
    }
}
