//! What happens in a replay, and when.

use crate::prelude::*;

/// Something that happens.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    Arrives(usize),
    Cancelled(JobId),
    Finishes {
        job: JobId,
        start: u32,
    },
    Fails {
        job: JobId,
        start: u32,
        worker: usize,
    },
    GivesWay {
        job: JobId,
        start: u32,
    },
    Tick,
}

/// When something happens; what comes first at one time happens first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct EventTime {
    pub(super) at: Millis,
    pub(super) number: u64,
}
