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

/// The input of one scheduling pass.
pub struct PassCx<'a> {
    /// The current time.
    pub now: Millis,
    /// The document in force.
    pub document: &'a Document,
    /// The mix of gang shapes that the document declares.
    pub mix: Rc<ShapeMix>,
    /// The policy that chooses workers.
    pub policy: &'a dyn PlacementPolicy,
    /// The rules that order the jobs.
    pub rules: &'a dyn QueueRules,
    /// The fleet with the capacity that can be allocated.
    pub view: FleetView,
}

/// A job that may start, and its placement.
#[derive(Clone, Debug)]
pub struct JobStart {
    /// The job.
    pub job: JobId,
    /// Its placement.
    pub decision: PlacementDecision,
}

/// A change of the reason for which a job waits.
#[derive(Clone, Debug)]
pub struct JobWait {
    /// The job.
    pub job: JobId,
    /// Why it waits.
    pub explanation: Explanation,
}

/// The decisions of one scheduling pass.
#[derive(Clone, Debug, Default)]
pub struct PassOutcome {
    /// The jobs that may start, in the order of the queue.
    pub starts: Vec<JobStart>,
    /// The deferrable jobs that are to stop in favour of an urgent one.
    pub preemptions: Vec<JobId>,
    /// The jobs whose reason to wait has changed.
    pub waits: Vec<JobWait>,
}

/// The waiting and running jobs of one entry. It decides which jobs start when, and records run
/// times and failures to that end.
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
    /// Adds a job that waits.
    pub fn add(
        &mut self,
        job: WaitingJob,
    ) {
        self.waiting.insert(job.id, job);
    }

    /// Removes a job, whether it waits or runs, for example because it was cancelled.
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

    /// Adds a job that already runs.
    pub fn adopt(
        &mut self,
        job: RunningJob,
    ) {
        self.running.insert(job.id, job);
    }

    /// Returns what a running job is expected to hold on each worker.
    pub fn held_by(
        &self,
        job: JobId,
    ) -> Vec<HeldCapacity> {
        let running = self.running.get(&job);
        running.map(|r| r.held.clone()).unwrap_or_default()
    }

    /// Returns a running job to the waiting ones. It keeps the time since which it has waited;
    /// `progress` is the run time that its last checkpoint covers.
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

    /// Removes a finished job, records its run time and clears the failures of its workers.
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

    /// Records that a job failed on a worker, and returns whether that ejects the worker. `fleet` is
    /// the number of known workers.
    pub fn record_failure(
        &mut self,
        now: Millis,
        job: JobId,
        worker: &UpstreamName,
        fleet: usize,
    ) -> bool {
        self.ejections.record_failure(now, job, worker, fleet)
    }

    /// Replaces what the jobs of other entries hold and claim.
    pub fn set_other_entries(
        &mut self,
        running: Vec<RunningJob>,
        claims: Vec<Claim>,
    ) {
        self.other_running = running;
        self.other_claims = claims;
    }

    /// Returns the claim that the last pass made for one of this queue's waiting jobs.
    pub fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref()
    }

    /// Returns the estimates of run times.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Returns the running jobs of this queue.
    pub fn running(&self) -> impl Iterator<Item = &RunningJob> {
        self.running.values()
    }

    /// Returns the number of waiting jobs.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the workers that are ejected now.
    pub fn ejected(
        &self,
        now: Millis,
    ) -> Vec<UpstreamName> {
        self.ejections.ejected(now).into_iter().collect()
    }

    /// Explains why a job waits, or where it runs; `None` when it is not in this queue.
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
