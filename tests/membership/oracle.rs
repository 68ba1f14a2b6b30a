//! What the oracle holds against every table while a course is under way.

use {
    crate::course::{Course, Ended},
    limpetquay::prelude::*,
};

/// How long after faults of the network or of entries the bounds hold again.
const CALM_AFTER: Duration = Duration::from_secs(25);

impl Course {
    /// Looks for what must never be.
    pub fn look(&mut self) -> Result<(), String> {
        let entries: Vec<String> = self.fleet.entries.keys().cloned().collect();
        for entry in entries {
            let known = self.fleet.known(&entry);
            let start = self.fleet.entries[&entry].table.borrow().own().incarnation;
            for (upstream, (incarnation, _)) in &known {
                self.look_for_older_start(&entry, start, upstream, *incarnation)?;
                self.look_for_ended(&entry, upstream, *incarnation)?;
            }
            self.look_for_empty_table(&entry, known.len())?;
        }
        Ok(())
    }

    fn look_for_older_start(
        &mut self,
        entry: &str,
        start: u64,
        upstream: &str,
        incarnation: u64,
    ) -> Result<(), String> {
        let key = (entry.to_owned(), start, upstream.to_owned());
        let newest = self.seen.entry(key).or_insert(incarnation);
        if incarnation < *newest {
            return Err(format!("{entry} went back to an older start of {upstream}"));
        }
        *newest = incarnation;
        Ok(())
    }

    fn look_for_ended(
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
            let span = self.now().since(ended.at);
            return Err(format!("{entry} knows {upstream} {span:?} after its end"));
        }
        Ok(())
    }

    /// Tells whether an ended upstream has to be gone: its bound is over, and neither the network
    /// nor an entry has failed since shortly before its end.
    fn is_bound_over(
        &self,
        ended: &Ended,
    ) -> bool {
        let calm_at_end = ended.at.since(self.disturbed) >= CALM_AFTER;
        let bound = if calm_at_end && self.disturbed < ended.at {
            ended.bound
        } else {
            CALM_AFTER
        };
        let since = self.now().since(ended.at.max(self.disturbed));
        self.is_calm && since > bound
    }

    /// An entry that has been there for a while in a calm network knows some upstream.
    fn look_for_empty_table(
        &self,
        entry: &str,
        known: usize,
    ) -> Result<(), String> {
        let quiet = self.now().since(self.disturbed) > CALM_AFTER;
        let grown = |incarnation: u64| {
            let started = Millis(incarnation >> 16);
            self.fleet.clock.wall_time().since(started) > Duration::from_secs(5)
        };
        let guards = self.fleet.guards.values();
        let mut starts = guards.map(|g| g.announcement.borrow().incarnation);
        if self.is_calm && quiet && known == 0 && starts.any(grown) {
            return Err(format!("{entry} knows no upstream"));
        }
        Ok(())
    }
}
