//! Generates random workloads: bursts of small and large jobs whose run times differ much from the
//! declared ones, with cancellations and periods in which workers fail.

use {
    super::{Deployment, ReplayJob, replay_job::FaultWindow},
    crate::{prelude::*, version::JobKind},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::BTreeMap,
};

/// One hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// The arriving work, as a fraction of the fleet's accelerator time.
const OFFERED_LOAD: f64 = 0.85;

/// The largest number of jobs in a burst.
const MAX_BURST: u32 = 8;

/// The period in which the jobs of a burst arrive, in milliseconds.
const BURST_WINDOW_MS: u64 = 600_000;

/// The fraction of jobs that are cancelled individually.
const CANCELLED_FRACTION: f64 = 0.04;

/// The fraction of jobs that fail on every worker.
const FAILING_FRACTION: f64 = 0.02;

/// The time between two waves of cancellations, in hours.
const WAVE_INTERVAL_HOURS: u64 = 36;

/// The period before a wave in which the jobs that it may cancel arrived, in hours.
const WAVE_LOOKBACK_HOURS: u64 = 3;

/// The period in which a faulty worker fails every job that starts on it, in hours.
const FAULT_WINDOW_HOURS: u64 = 5;

/// The size of a workload.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadSize {
    /// The number of days over which jobs arrive.
    pub days: u64,
}

/// The jobs and the worker faults of one replay.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The jobs, in the order of arrival.
    pub jobs: Vec<ReplayJob>,
    /// The periods in which workers fail.
    pub fault_windows: Vec<FaultWindow>,
}

/// An account that submits jobs of one kind, with the ratio of their typical run time to the
/// declared one.
struct JobSource {
    account: AccountName,
    kind: Rc<JobKind>,
    run_time_factor: f64,
}

impl Workload {
    /// Generates the workload of a seed for a deployment. Equal arguments give equal workloads.
    pub fn generate(
        deployment: &Deployment,
        size: WorkloadSize,
        seed: u64,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let sources = generate_sources(&deployment.document, &mut rng);
        let span_ms = size.days * 24 * HOUR_MS;
        let workers = deployment.fleet.workers();
        let accelerators: u32 = workers.iter().map(|w| w.accelerators.len()).sum();
        let work_ms = f64::from(accelerators) * span_ms as f64 * OFFERED_LOAD;
        let mut jobs = generate_jobs(&deployment.document, &sources, span_ms, work_ms, &mut rng);
        add_cancellations(&mut jobs, span_ms, &mut rng);
        let windows = (0..size.days).map(|day| {
            let from = Millis((day * 24 + rng.random_range(0..18)) * HOUR_MS);
            FaultWindow {
                worker: rng.random_range(0..workers.len()),
                starts_at: from,
                ends_at: from + Millis(FAULT_WINDOW_HOURS * HOUR_MS),
            }
        });
        Self {
            fault_windows: windows.collect(),
            jobs,
        }
    }
}

/// Pairs accounts with the job kinds that hold accelerators and fit their quotas. Typical run times
/// differ from the declared ones by a factor of 3 to 10, and 3 in 10 exceed them unless that is
/// longer than [`MAX_TYPICAL_RUN_S`].
fn generate_sources(
    document: &Document,
    rng: &mut StdRng,
) -> Vec<JobSource> {
    let mut sources = Vec::new();
    for account in document.accounts.values() {
        for kind in document.job_kinds.values() {
            if kind.gang.is_plain() || kind.gang.total_accelerators() > account.quota_accelerators {
                continue;
            }
            let deviation = rng.random_range(3.0..10.0);
            let factor = if rng.random_bool(0.3) {
                deviation
            } else {
                1.0 / deviation
            };
            let too_long = kind.run_time.as_secs_f64() * factor > MAX_TYPICAL_RUN_S;
            sources.push(JobSource {
                account: account.name.clone(),
                kind: Rc::new(kind.clone()),
                run_time_factor: if too_long { 1.0 / deviation } else { factor },
            });
        }
    }
    sources
}

/// The longest typical run time that exceeds the declared one, in seconds.
const MAX_TYPICAL_RUN_S: f64 = 43_200.0;

/// Generates bursts until each account has its share of `work_ms`, which is proportional to its
/// quota. Returns the jobs in the order of arrival and numbers them from 1.
fn generate_jobs(
    document: &Document,
    sources: &[JobSource],
    span_ms: u64,
    work_ms: f64,
    rng: &mut StdRng,
) -> Vec<ReplayJob> {
    let quotas: u32 = document
        .accounts
        .values()
        .map(|a| a.quota_accelerators)
        .sum();
    let mut jobs = Vec::new();
    for account in document.accounts.values() {
        let account_sources = sources.iter().filter(|s| s.account == account.name);
        let account_sources: Vec<&JobSource> = account_sources.collect();
        let share = f64::from(account.quota_accelerators) / f64::from(quotas);
        let mut remaining_ms = work_ms * share;
        while remaining_ms > 0.0 && !account_sources.is_empty() {
            let burst = generate_burst(
                account_sources[rng.random_range(0..account_sources.len())],
                span_ms,
                rng,
            );
            let work = burst.iter();
            let work = work
                .map(|j| j.run_time.as_secs_f64() * f64::from(j.kind.gang.total_accelerators()));
            remaining_ms -= work.sum::<f64>() * 1000.0;
            jobs.extend(burst);
        }
    }
    jobs.sort_by_key(|j| j.arrives_at);
    for (i, job) in jobs.iter_mut().enumerate() {
        job.id = JobId(i as u64 + 1);
    }
    jobs
}

/// Generates the jobs of one burst; the smaller the gang, the larger a burst may be.
fn generate_burst(
    source: &JobSource,
    span_ms: u64,
    rng: &mut StdRng,
) -> Vec<ReplayJob> {
    let size = source.kind.gang.total_accelerators();
    let burst = rng.random_range(1..=(MAX_BURST * 2 / size).clamp(1, MAX_BURST));
    let at = rng.random_range(0..span_ms);
    let jobs = (0..burst).map(|_| {
        let noise = 2.0_f64.powf(rng.random_range(-1.0..1.0));
        ReplayJob {
            id: JobId(0),
            account: source.account.clone(),
            kind: source.kind.clone(),
            arrives_at: Millis(at + rng.random_range(0..BURST_WINDOW_MS)),
            run_time: source.kind.run_time.mul_f64(source.run_time_factor * noise),
            cancelled_at: None,
            always_fails: rng.random_bool(FAILING_FRACTION),
        }
    });
    jobs.collect()
}

/// Cancels jobs individually ([`CANCELLED_FRACTION`]) and in waves. A wave cancels each job that
/// the account with the most jobs submitted in the last [`WAVE_LOOKBACK_HOURS`] with a probability
/// of one half.
fn add_cancellations(
    jobs: &mut [ReplayJob],
    span_ms: u64,
    rng: &mut StdRng,
) {
    for job in jobs.iter_mut() {
        if rng.random_bool(CANCELLED_FRACTION) {
            let after = rng.random_range(0..4 * HOUR_MS);
            job.cancelled_at = Some(job.arrives_at + Millis(after));
        }
    }
    let mut accounts: BTreeMap<AccountName, u32> = BTreeMap::new();
    for job in jobs.iter() {
        *accounts.entry(job.account.clone()).or_default() += 1;
    }
    let busiest = accounts
        .into_iter()
        .max_by_key(|(_, n)| *n)
        .map(|(name, _)| name);
    for wave in 1..=span_ms / HOUR_MS / WAVE_INTERVAL_HOURS {
        let at = wave * WAVE_INTERVAL_HOURS * HOUR_MS;
        let since = at - WAVE_LOOKBACK_HOURS * HOUR_MS;
        let recent = jobs
            .iter_mut()
            .filter(|j| (since..at).contains(&j.arrives_at.0));
        for job in recent.filter(|j| Some(&j.account) == busiest.as_ref()) {
            if rng.random_bool(0.5) {
                job.cancelled_at = Some(Millis(at));
            }
        }
    }
}
