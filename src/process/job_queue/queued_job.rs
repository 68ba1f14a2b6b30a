//! The waiting and running jobs of a queue.

use {
    crate::{prelude::*, version::JobKind},
    serde::{Deserialize, Serialize},
};

/// A job that waits to be placed.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// The job.
    pub id: JobId,
    /// The account that owns it.
    pub account: AccountName,
    /// Its kind, as the document declared it when the job was submitted or last started.
    pub kind: Rc<JobKind>,
    /// The time since which it has waited.
    pub waiting_since: Millis,
    /// The run time that its last checkpoint covers.
    pub progress: Duration,
}

/// What a running job holds on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldCapacity {
    /// The worker.
    pub upstream: UpstreamName,
    /// The accelerators; empty while they are not known.
    pub accelerators: AcceleratorSet,
    /// The number of plain tasks; 0 while it is not known.
    pub plain_tasks: u32,
}

/// A job that has been placed.
#[derive(Clone, Debug)]
pub struct RunningJob {
    /// The job.
    pub id: JobId,
    /// The account that owns it.
    pub account: AccountName,
    /// Its kind.
    pub kind: Rc<JobKind>,
    /// What it holds on each worker.
    pub held: Vec<HeldCapacity>,
    /// The time at which it started.
    pub started_at: Millis,
    /// The time since which it had waited when it was placed.
    pub waited_since: Millis,
    /// The run time that the checkpoint covers from which it started.
    pub progress: Duration,
    /// Whether it is to stop in favour of an urgent job.
    pub preempted: bool,
}

impl RunningJob {
    /// Returns the number of accelerators of its gang.
    pub fn accelerators(&self) -> u32 {
        self.kind.gang.total_accelerators()
    }

    /// Returns how long it has run, including the run time that it resumed from.
    pub fn elapsed(
        &self,
        now: Millis,
    ) -> Duration {
        self.progress + now.since(self.started_at)
    }

    /// Returns the workers on which it runs.
    pub fn workers(&self) -> Vec<UpstreamName> {
        self.held.iter().map(|h| h.upstream.clone()).collect()
    }
}
