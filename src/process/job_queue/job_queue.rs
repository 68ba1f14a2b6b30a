//! The queue of the jobs that one entry owns.

use {
    super::{
        Claim, Ejections, Estimates, Explanation, HeldCapacity, QueueRules, RunningJob, Usage,
        WaitReason, WaitingJob,
    },
    crate::{
        prelude::*,
        request::{FleetView, PlacementDecision, PlacementPolicy, ShapeMix},
    },
    std::collections::BTreeMap,
};

/// What one turn of the queue is told.
pub struct PassCx<'a> {
    /// The time.
    pub now: Millis,
    /// The document in force.
    pub document: &'a Document,
    /// The mix of shapes that it declares.
    pub mix: Rc<ShapeMix>,
    /// The choice of workers.
    pub policy: &'a dyn PlacementPolicy,
    /// The order of jobs.
    pub rules: &'a dyn QueueRules,
    /// The fleet with what is to be had.
    pub view: FleetView,
}

/// A job that may start, and where.
#[derive(Clone, Debug)]
pub struct JobStart {
    /// The job.
    pub job: JobId,
    /// Its workers.
    pub decision: PlacementDecision,
}

/// A job that waits for another reason than before.
#[derive(Clone, Debug)]
pub struct JobWait {
    /// The job.
    pub job: JobId,
    /// Why it waits.
    pub explanation: Explanation,
}

/// What one turn of the queue decided.
#[derive(Clone, Debug, Default)]
pub struct PassOutcome {
    /// The jobs that may start, in the order of the queue.
    pub starts: Vec<JobStart>,
    /// The jobs that are asked to give their place to one that cannot wait.
    pub preemptions: Vec<JobId>,
    /// The jobs that wait for another reason than before.
    pub waits: Vec<JobWait>,
}

/// Decides which job starts when. It holds the jobs that one entry owns, and learns from them.
#[derive(Clone, Debug, Default)]
pub struct JobQueue {
    pub(super) waiting: BTreeMap<JobId, WaitingJob>,
    pub(super) running: BTreeMap<JobId, RunningJob>,
    pub(super) other_running: Vec<RunningJob>,
    pub(super) other_claims: Vec<Claim>,
    pub(super) explanations: BTreeMap<JobId, Explanation>,
    pub(super) estimates: Estimates,
    pub(super) ejections: Ejections,
    pub(super) usage: Usage,
    pub(super) claim: Option<Claim>,
}

impl JobQueue {
    /// Puts a job into the queue.
    pub fn add(
        &mut self,
        job: WaitingJob,
    ) {
        self.waiting.insert(job.id, job);
    }

    /// Takes a job out, whether it waits or runs, for instance because it was cancelled.
    pub fn remove(
        &mut self,
        job: JobId,
    ) {
        self.waiting.remove(&job);
        self.running.remove(&job);
        self.explanations.remove(&job);
        if self.claim.as_ref().is_some_and(|c| c.job == job) {
            self.claim = None;
        }
    }

    /// Takes a job that runs already into the account.
    pub fn adopt(
        &mut self,
        job: RunningJob,
    ) {
        self.running.insert(job.id, job);
    }

    /// Returns what a job is expected to hold.
    pub fn held_by(
        &self,
        job: JobId,
    ) -> Vec<HeldCapacity> {
        let running = self.running.get(&job);
        running.map(|r| r.held.clone()).unwrap_or_default()
    }

    /// Puts a job that had a place back into the queue, with the wait that it had and the run time
    /// that its last checkpoint holds.
    pub fn requeue(
        &mut self,
        job: JobId,
        progress: Duration,
    ) {
        if let Some(running) = self.running.remove(&job) {
            self.explanations.remove(&job);
            self.add(WaitingJob {
                id: job,
                account: running.account,
                kind: running.kind,
                waiting_since: running.waited_since,
                progress,
            });
        }
    }

    /// Notes that a job finished, and learns how long it ran.
    pub fn finish(
        &mut self,
        now: Millis,
        job: JobId,
    ) {
        if let Some(running) = self.running.get(&job) {
            let run_time = running.elapsed(now);
            self.estimates
                .record(&running.account, &running.kind.name, run_time);
            self.ejections.record_success(job, &running.workers());
        }
        self.remove(job);
    }

    /// Notes that a job failed on a worker; `fleet` is the number of known workers.
    pub fn record_failure(
        &mut self,
        now: Millis,
        job: JobId,
        worker: &UpstreamName,
        fleet: usize,
    ) -> bool {
        self.ejections.record_failure(now, job, worker, fleet)
    }

    /// Takes over what the jobs of other entries hold and claim.
    pub fn set_other_entries(
        &mut self,
        running: Vec<RunningJob>,
        claims: Vec<Claim>,
    ) {
        self.other_running = running;
        self.other_claims = claims;
    }

    /// Returns the claim of this queue's first waiting job.
    pub fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref()
    }

    /// Returns what is learned of run times.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Returns the running jobs of this queue.
    pub fn running(&self) -> impl Iterator<Item = &RunningJob> {
        self.running.values()
    }

    /// Returns the number of jobs that wait.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the workers that get no jobs now.
    pub fn ejected(
        &self,
        now: Millis,
    ) -> Vec<UpstreamName> {
        self.ejections.ejected(now).into_iter().collect()
    }

    /// Says why a job waits; `None` when this queue does not know it.
    pub fn explain(
        &self,
        job: JobId,
    ) -> Option<Explanation> {
        if let Some(running) = self.running.get(&job) {
            let mut explanation = Explanation::waiting(WaitReason::Running, 0, self.waiting.len());
            explanation.workers = running.workers();
            return Some(explanation);
        }
        self.waiting.get(&job)?;
        let known = self.explanations.get(&job).cloned();
        let queued = self.waiting.len();
        Some(known.unwrap_or_else(|| Explanation::waiting(WaitReason::NextPass, queued, queued)))
    }
}
