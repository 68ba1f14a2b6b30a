//! Jobs in the queue and out of it.

use {
    crate::{prelude::*, version::JobKind},
    serde::{Deserialize, Serialize},
};

/// A job that waits for its turn.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// The job.
    pub id: JobId,
    /// The account that owns it.
    pub account: AccountName,
    /// Its kind, as the document had it when the job came or was started last.
    pub kind: Rc<JobKind>,
    /// Since when it has waited.
    pub since: Millis,
    /// The run time that its last checkpoint holds.
    pub progress: Duration,
}

/// The accelerators that a running job holds on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldOn {
    /// The worker.
    pub upstream: UpstreamName,
    /// The accelerators, as far as they are known.
    pub accelerators: AcceleratorSet,
    /// The tasks without accelerators, as far as they are known.
    pub plain_tasks: u32,
}

/// A job that has a place.
#[derive(Clone, Debug)]
pub struct RunningJob {
    /// The job.
    pub id: JobId,
    /// The account that owns it.
    pub account: AccountName,
    /// Its kind.
    pub kind: Rc<JobKind>,
    /// What it holds.
    pub held: Vec<HeldOn>,
    /// Since when it has run.
    pub started: Millis,
    /// Since when it had waited before.
    pub waited_since: Millis,
    /// The run time that it continued from.
    pub progress: Duration,
    /// Whether it was asked to give its place to a job that cannot wait.
    pub gives_way: bool,
}

impl RunningJob {
    /// Returns the number of accelerators that it holds.
    pub fn accelerators(&self) -> u32 {
        self.kind.gang.total_accelerators()
    }

    /// Returns how long it has run, with what its last checkpoint held.
    pub fn elapsed(
        &self,
        now: Millis,
    ) -> Duration {
        self.progress + now.since(self.started)
    }

    /// Returns the workers on which it runs.
    pub fn workers(&self) -> Vec<UpstreamName> {
        self.held.iter().map(|h| h.upstream.clone()).collect()
    }
}
