//! What happens in a replay, and when.

use crate::prelude::*;

/// Something that happens.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    Arrived(usize),
    Cancelled(JobId),
    Finished {
        job: JobId,
        start: u32,
    },
    Failed {
        job: JobId,
        start: u32,
        worker: usize,
    },
    Preempted {
        job: JobId,
        start: u32,
    },
    Tick,
}

/// When something happens; what comes first at one time happens first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct EventTime {
    pub(super) at: Millis,
    pub(super) sequence: u64,
}
