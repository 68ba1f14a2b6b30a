//! The events of a replay and the order in which they occur.

use crate::prelude::*;

/// An event of a replay. A start number that is not that of the job's current run marks the event
/// as stale.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// The job at this index of the workload arrives.
    Arrived(usize),
    /// The caller cancels the job.
    Cancelled(JobId),
    /// The run reaches the end of its work.
    Finished { job: JobId, start_number: u32 },
    /// The run fails on a worker, given by its index in the fleet.
    Failed {
        job: JobId,
        start_number: u32,
        worker: usize,
    },
    /// The run has been checkpointed and stopped for an urgent job.
    Preempted { job: JobId, start_number: u32 },
    /// A scheduling pass is due because jobs still wait.
    Tick,
}

/// The time of an event; events at the same time occur in the order in which they were scheduled.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct EventTime {
    pub(super) at: Millis,
    pub(super) sequence: u64,
}
