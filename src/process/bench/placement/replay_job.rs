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
    pub arrives_at: Millis,
    /// How long it runs in all.
    pub run_time: Duration,
    /// When it is cancelled.
    pub cancelled_at: Option<Millis>,
    /// Whether it fails wherever it runs.
    pub always_fails: bool,
}

/// A span of time in which a worker fails everything that is started on it.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// The worker's index in the fleet.
    pub worker: usize,
    /// When it begins.
    pub starts_at: Millis,
    /// When it ends.
    pub ends_at: Millis,
}

/// What became of a job.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplayProgress {
    /// How often it was started.
    pub(super) start_count: u32,
    /// How often it failed.
    pub(super) failure_count: u32,
    /// What it has yet to run.
    pub(super) remaining_run_time: Duration,
    /// When it finished.
    pub(super) finished_at: Option<Millis>,
    /// Whether it was given up or cancelled.
    pub(super) is_abandoned: bool,
}

/// A run of a job.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The number of the start; events of earlier starts are stale.
    pub(super) start_number: u32,
    /// When it began.
    pub(super) started_at: Millis,
}
