//! Workers that fail what they are given.

use {
    crate::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

/// How many jobs have to fail on a worker, with none succeeding in between, before it is ejected.
const FAILURES_TO_EJECT: usize = 3;

/// On how many workers a job has to fail before its failures count against none of them.
const WORKERS_TO_BLAME_JOB: usize = 3;

/// How long a worker is ejected for the first time; each further time is twice as long.
const FIRST_EJECTION_TIME: Duration = Duration::from_secs(60);

/// The most doublings of the time.
const MAX_DOUBLINGS: u32 = 6;

/// The most jobs whose failures are remembered.
const MAX_FAILED_JOBS: usize = 1_000;

/// The largest part of the fleet that is ejected at once is one of this many workers.
const EJECTED_FLEET_DIVISOR: usize = 3;

/// What is known of one worker.
#[derive(Clone, Debug, Default)]
struct WorkerFailures {
    failed_jobs: BTreeSet<JobId>,
    ejected_until: Option<Millis>,
    ejection_count: u32,
}

/// What is known of one job that failed.
#[derive(Clone, Debug, Default)]
struct FailedJob {
    failed_workers: BTreeSet<UpstreamName>,
    has_succeeded: bool,
}

/// Ejects workers that fail every job, for some time. A job that fails everywhere counts against
/// no worker.
#[derive(Clone, Debug, Default)]
pub struct Ejections {
    workers: BTreeMap<UpstreamName, WorkerFailures>,
    jobs: BTreeMap<JobId, FailedJob>,
}

impl Ejections {
    /// Notes that a job failed on a worker; `true` when that ejects the worker. `fleet` is the
    /// number of known workers.
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
        let suspect = self.jobs.entry(job).or_default();
        suspect.failed_workers.insert(worker.clone());
        let record = self.workers.entry(worker.clone()).or_default();
        record.failed_jobs.insert(job);
        let on_trial = record.ejection_count > 0;
        let needed = if on_trial { 1 } else { FAILURES_TO_EJECT };
        let ejected = self.ejected(now).len();
        if self.failure_count(worker) < needed
            || (ejected + 1) * EJECTED_FLEET_DIVISOR > fleet.max(EJECTED_FLEET_DIVISOR)
        {
            return false;
        }
        self.eject(now, worker);
        true
    }

    /// Notes that a job finished on workers, which clears them.
    pub fn record_success(
        &mut self,
        job: JobId,
        workers: &[UpstreamName],
    ) {
        if let Some(suspect) = self.jobs.get_mut(&job) {
            suspect.has_succeeded = true;
        }
        for worker in workers {
            self.workers.remove(worker);
        }
    }

    /// Returns the workers that get no job now.
    pub fn ejected(
        &self,
        now: Millis,
    ) -> BTreeSet<UpstreamName> {
        let ejected = self.workers.iter();
        let ejected = ejected.filter(|(_, r)| r.ejected_until.is_some_and(|until| now < until));
        ejected.map(|(worker, _)| worker.clone()).collect()
    }

    /// Returns the workers on which a job has failed.
    pub fn failed_workers(
        &self,
        job: JobId,
    ) -> BTreeSet<UpstreamName> {
        let suspect = self.jobs.get(&job);
        suspect
            .map(|s| s.failed_workers.clone())
            .unwrap_or_default()
    }

    /// Returns how many jobs speak against a worker.
    fn failure_count(
        &self,
        worker: &UpstreamName,
    ) -> usize {
        let Some(record) = self.workers.get(worker) else {
            return 0;
        };
        let counts = |job: &&JobId| {
            let suspect = self.jobs.get(job);
            suspect
                .is_some_and(|s| s.has_succeeded || s.failed_workers.len() < WORKERS_TO_BLAME_JOB)
        };
        record.failed_jobs.iter().filter(counts).count()
    }

    fn eject(
        &mut self,
        now: Millis,
        worker: &UpstreamName,
    ) {
        let record = self.workers.entry(worker.clone()).or_default();
        let span = FIRST_EJECTION_TIME * 2_u32.pow(record.ejection_count.min(MAX_DOUBLINGS));
        record.ejected_until = Some(now + Millis::from(span));
        record.ejection_count += 1;
        record.failed_jobs.clear();
    }
}
