//! Temporary ejection of workers on which jobs fail.

use {
    crate::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

/// The number of jobs that have to fail on a worker, with none finishing in between, before it is
/// ejected for the first time.
const FAILURES_TO_EJECT: usize = 3;

/// The number of workers on which a job has to fail before its failures count against none of them.
const WORKERS_TO_BLAME_JOB: usize = 3;

/// The duration of a worker's first ejection; each further one lasts twice as long.
const FIRST_EJECTION_TIME: Duration = Duration::from_secs(60);

/// The most doublings of the duration of an ejection.
const MAX_DOUBLINGS: u32 = 6;

/// The most jobs whose failures are stored.
const MAX_FAILED_JOBS: usize = 1_000;

/// At most one in this many workers of the fleet is ejected at a time; in a smaller fleet, one.
const EJECTED_FLEET_DIVISOR: usize = 3;

/// The failures and ejections of one worker since a job last finished there.
#[derive(Clone, Debug, Default)]
struct WorkerFailures {
    failed_jobs: BTreeSet<JobId>,
    ejected_until: Option<Millis>,
    ejection_count: u32,
}

/// The workers on which one job failed.
#[derive(Clone, Debug, Default)]
struct FailedJob {
    failed_workers: BTreeSet<UpstreamName>,
    has_succeeded: bool,
}

/// Ejects workers on which every job fails, for a limited time. A job that fails on several workers
/// and finishes on none counts against no worker.
#[derive(Clone, Debug, Default)]
pub struct Ejections {
    workers: BTreeMap<UpstreamName, WorkerFailures>,
    jobs: BTreeMap<JobId, FailedJob>,
}

impl Ejections {
    /// Records that a job failed on a worker, and returns whether that ejects the worker. After its
    /// first ejection one failure is enough, until a job finishes there. `fleet` is the number of
    /// known workers.
    pub fn record_failure(
        &mut self,
        now: Millis,
        job: JobId,
        worker: &UpstreamName,
        fleet: usize,
    ) -> bool {
        if self.jobs.len() >= MAX_FAILED_JOBS {
            self.jobs.pop_first();
        }
        let failed_job = self.jobs.entry(job).or_default();
        failed_job.failed_workers.insert(worker.clone());
        let failures = self.workers.entry(worker.clone()).or_default();
        failures.failed_jobs.insert(job);
        let was_ejected = failures.ejection_count > 0;
        let needed = if was_ejected { 1 } else { FAILURES_TO_EJECT };
        let ejected = self.ejected(now).len();
        if self.failure_count(worker) < needed
            || (ejected + 1) * EJECTED_FLEET_DIVISOR > fleet.max(EJECTED_FLEET_DIVISOR)
        {
            return false;
        }
        self.eject(now, worker);
        true
    }

    /// Records that a job finished, which clears the failures of its workers.
    pub fn record_success(
        &mut self,
        job: JobId,
        workers: &[UpstreamName],
    ) {
        if let Some(failed_job) = self.jobs.get_mut(&job) {
            failed_job.has_succeeded = true;
        }
        for worker in workers {
            self.workers.remove(worker);
        }
    }

    /// Returns the workers that are ejected now.
    pub fn ejected(
        &self,
        now: Millis,
    ) -> BTreeSet<UpstreamName> {
        let ejected = self.workers.iter();
        let ejected = ejected.filter(|(_, f)| f.ejected_until.is_some_and(|until| now < until));
        ejected.map(|(worker, _)| worker.clone()).collect()
    }

    /// Returns the workers on which a job has failed.
    pub fn failed_workers(
        &self,
        job: JobId,
    ) -> BTreeSet<UpstreamName> {
        let failed_job = self.jobs.get(&job);
        failed_job
            .map(|j| j.failed_workers.clone())
            .unwrap_or_default()
    }

    /// Returns the number of failed jobs that count against a worker.
    fn failure_count(
        &self,
        worker: &UpstreamName,
    ) -> usize {
        let Some(failures) = self.workers.get(worker) else {
            return 0;
        };
        let counts = |job: &&JobId| {
            let failed_job = self.jobs.get(job);
            failed_job
                .is_some_and(|j| j.has_succeeded || j.failed_workers.len() < WORKERS_TO_BLAME_JOB)
        };
        failures.failed_jobs.iter().filter(counts).count()
    }

    fn eject(
        &mut self,
        now: Millis,
        worker: &UpstreamName,
    ) {
        let failures = self.workers.entry(worker.clone()).or_default();
        let duration = FIRST_EJECTION_TIME * 2_u32.pow(failures.ejection_count.min(MAX_DOUBLINGS));
        failures.ejected_until = Some(now + Millis::from(duration));
        failures.ejection_count += 1;
        failures.failed_jobs.clear();
    }
}
