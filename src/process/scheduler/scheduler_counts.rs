//! What the scheduler counts for metrics.

use {crate::prelude::*, std::collections::BTreeMap};

/// What has happened since the counts were last taken.
#[derive(Clone, Debug, Default)]
pub struct SchedulerCounts {
    /// What became of runs: how often each event happened.
    pub run_events: BTreeMap<&'static str, u64>,
    /// For each placed unit, its priority and how long it waited.
    pub placement_waits: Vec<(u32, Duration)>,
}

impl SchedulerCounts {
    /// Counts an event of a run.
    pub(super) fn count(
        &mut self,
        event: &'static str,
    ) {
        *self.run_events.entry(event).or_default() += 1;
    }
}
