//! The events that the scheduler counts for metrics.

use {crate::prelude::*, std::collections::BTreeMap};

/// The events since the last export of metrics.
#[derive(Clone, Debug, Default)]
pub struct SchedulerCounts {
    /// The number of runs by event, such as `done` or `lost`.
    pub run_events: BTreeMap<&'static str, u64>,
    /// The priority and waiting time of each placed unit.
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
