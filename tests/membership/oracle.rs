//! The invariants that the oracle checks for every table during a scenario.

use {
    crate::scenario::{Scenario, UpstreamEnd},
    limpetquay::prelude::*,
};

/// How long after a fault of the network or of an entry the bounds apply again.
const RECOVERY_TIME: Duration = Duration::from_secs(25);

impl Scenario {
    /// Checks the invariants for the table of each entry.
    pub fn check_tables(&mut self) -> Result<(), String> {
        let entries: Vec<String> = self.fleet.entries.keys().cloned().collect();
        for entry in entries {
            let known = self.fleet.known(&entry);
            let entry_incarnation = self.fleet.entries[&entry].table.borrow().own().incarnation;
            for (upstream, (incarnation, _)) in &known {
                self.check_incarnation(&entry, entry_incarnation, upstream, *incarnation)?;
                self.check_ended(&entry, upstream, *incarnation)?;
            }
            self.check_not_empty(&entry, known.len())?;
        }
        Ok(())
    }

    fn check_incarnation(
        &mut self,
        entry: &str,
        entry_incarnation: u64,
        upstream: &str,
        incarnation: u64,
    ) -> Result<(), String> {
        let key = (entry.to_owned(), entry_incarnation, upstream.to_owned());
        let newest = self.newest_known.entry(key).or_insert(incarnation);
        if incarnation < *newest {
            return Err(format!(
                "{entry} reverted to an older incarnation of {upstream}"
            ));
        }
        *newest = incarnation;
        Ok(())
    }

    fn check_ended(
        &self,
        entry: &str,
        upstream: &str,
        incarnation: u64,
    ) -> Result<(), String> {
        let ended = self.ended.get(upstream);
        let Some(ended) = ended.filter(|e| e.incarnation == incarnation) else {
            return Ok(());
        };
        if self.is_bound_over(ended) {
            let span = self.now().since(ended.ended_at);
            return Err(format!("{entry} knows {upstream} {span:?} after its end"));
        }
        Ok(())
    }

    /// Returns whether an ended upstream must no longer be known: no fault is active, and the bound
    /// for its end has passed since its end and the last fault. The bound is longer if a fault
    /// happened shortly before or after the end.
    fn is_bound_over(
        &self,
        ended: &UpstreamEnd,
    ) -> bool {
        let no_recent_fault = ended.ended_at.since(self.last_fault_at) >= RECOVERY_TIME;
        let bound = if no_recent_fault && self.last_fault_at < ended.ended_at {
            ended.bound
        } else {
            RECOVERY_TIME
        };
        let since = self.now().since(ended.ended_at.max(self.last_fault_at));
        self.no_active_fault && since > bound
    }

    /// Checks that an entry knows some upstream once the network has been without faults for a
    /// while.
    fn check_not_empty(
        &self,
        entry: &str,
        known: usize,
    ) -> Result<(), String> {
        let has_recovered = self.now().since(self.last_fault_at) > RECOVERY_TIME;
        let is_established = |incarnation: u64| {
            let started_at = Millis(incarnation >> 16);
            self.fleet.clock.wall_time().since(started_at) > Duration::from_secs(5)
        };
        let guards = self.fleet.guards.values();
        let mut incarnations = guards.map(|g| g.announcement.borrow().incarnation);
        if self.no_active_fault && has_recovered && known == 0 && incarnations.any(is_established) {
            return Err(format!("{entry} knows no upstream"));
        }
        Ok(())
    }
}
