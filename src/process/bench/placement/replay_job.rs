//! The jobs of a replay and their progress.

use crate::{prelude::*, version::JobKind};

/// An arriving job, with the properties that the scheduler does not know in advance: its real run
/// time, cancellation and failure.
#[derive(Clone, Debug)]
pub struct ReplayJob {
    /// The job's id.
    pub id: JobId,
    /// The account that submits it.
    pub account: AccountName,
    /// The kind of job.
    pub kind: Rc<JobKind>,
    /// The time of its arrival.
    pub arrives_at: Millis,
    /// The total time that it has to run.
    pub run_time: Duration,
    /// The time at which it is cancelled, if it is.
    pub cancelled_at: Option<Millis>,
    /// Whether it fails on every worker.
    pub always_fails: bool,
}

/// A period in which every job that starts on a worker fails.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// The worker's index in the fleet.
    pub worker: usize,
    /// The start of the period.
    pub starts_at: Millis,
    /// The end of the period, exclusive.
    pub ends_at: Millis,
}

/// The progress of a job in a replay.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplayProgress {
    pub(super) start_count: u32,
    pub(super) failure_count: u32,
    /// The run time that was left at the job's last start, or is left for its next one.
    pub(super) remaining_run_time: Duration,
    pub(super) finished_at: Option<Millis>,
    /// Whether it was cancelled, or given up after its last attempt failed.
    pub(super) is_abandoned: bool,
}

/// The current run of a job.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Counts the starts of the job from 1; events of earlier starts are stale.
    pub(super) start_number: u32,
    pub(super) started_at: Millis,
}
