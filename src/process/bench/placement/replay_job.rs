//! The jobs of a replay.

use crate::{prelude::*, version::JobKind};

/// A job as it arrives, with what no scheduler knows before it ran.
#[derive(Clone, Debug)]
pub struct ReplayJob {
    /// The job.
    pub id: JobId,
    /// The account.
    pub account: AccountName,
    /// The kind.
    pub kind: Rc<JobKind>,
    /// When it arrives.
    pub arrives: Millis,
    /// How long it runs in all.
    pub run_time: Duration,
    /// When it is cancelled.
    pub cancelled: Option<Millis>,
    /// Whether it fails wherever it runs.
    pub fails: bool,
}

/// A span of time in which a worker fails everything that is started on it.
#[derive(Clone, Debug)]
pub struct BadSpell {
    /// The worker's index in the fleet.
    pub worker: usize,
    /// When it begins.
    pub from: Millis,
    /// When it ends.
    pub until: Millis,
}

/// What became of a job.
#[derive(Clone, Debug, Default)]
pub(super) struct Course {
    /// How often it was started.
    pub(super) starts: u32,
    /// How often it failed.
    pub(super) failures: u32,
    /// What it has yet to run.
    pub(super) left: Duration,
    /// When it finished.
    pub(super) finished: Option<Millis>,
    /// Whether it was given up or cancelled.
    pub(super) dropped: bool,
}

/// A run of a job.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The number of the start; events of earlier starts are stale.
    pub(super) start: u32,
    /// When it began.
    pub(super) began: Millis,
}
