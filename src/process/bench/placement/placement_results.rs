//! The results of the replays of a deployment, and statistics over them.

use {
    super::{
        Deployment, Replay, ReplayJob, ReplayResult, Strategy, Workload, WorkloadSize,
        bound::mean_completion_bound,
    },
    crate::prelude::*,
    std::collections::BTreeSet,
};

/// One hour, in milliseconds.
pub(super) const HOUR_MS: f64 = 3_600_000.0;

/// The replays of one strategy, one for each seed of a deployment.
pub(super) struct StrategyResults {
    pub(super) name: &'static str,
    pub(super) replays: Vec<ReplayResult>,
}

/// The replays of all strategies for one deployment.
pub(super) struct DeploymentResults {
    pub(super) service: Arc<str>,
    pub(super) workloads: Vec<Workload>,
    accelerators: u32,
    document: Document,
    pub(super) strategies: Vec<StrategyResults>,
}

/// The mean and percentiles of completion times, in hours.
pub(super) struct CompletionStats {
    job_count: usize,
    pub(super) mean_h: f64,
    p50_h: f64,
    p95_h: f64,
    p99_h: f64,
}

/// Generates a workload for each seed and replays it with every strategy.
pub(super) fn replay_all(
    deployment: &Deployment,
    size: WorkloadSize,
    first_seed: u64,
    seeds: u64,
) -> DeploymentResults {
    let seeds = first_seed..first_seed + seeds;
    let workloads: Vec<Workload> = seeds
        .map(|s| Workload::generate(deployment, size, s))
        .collect();
    let strategies = Strategy::all().into_iter().map(|strategy| StrategyResults {
        name: strategy.name,
        replays: workloads
            .iter()
            .map(|w| Replay::new(deployment, &strategy, w).run())
            .collect(),
    });
    let workers = deployment.fleet.workers().iter();
    DeploymentResults {
        service: deployment.document.service.clone(),
        strategies: strategies.collect(),
        accelerators: workers.map(|w| w.accelerators.len()).sum(),
        document: deployment.document.clone(),
        workloads,
    }
}

impl DeploymentResults {
    /// Returns the jobs of one seed that finished with every strategy. Strategies are compared over
    /// these, so that the comparison is over the same jobs.
    pub(super) fn common_jobs(
        &self,
        seed: usize,
    ) -> Vec<&ReplayJob> {
        let finished = self.strategies.iter().map(|s| {
            let completions = s.replays[seed].completion_times.keys();
            completions.copied().collect::<BTreeSet<JobId>>()
        });
        let common = finished.reduce(|a, b| &a & &b).unwrap_or_default();
        let jobs = self.workloads[seed].jobs.iter();
        jobs.filter(|j| common.contains(&j.id)).collect()
    }

    /// Returns statistics of a strategy's completion times over those common jobs of all seeds for
    /// which `includes` returns true, or `None` when there are none.
    pub(super) fn completion_stats<F>(
        &self,
        strategy: &StrategyResults,
        includes: F,
    ) -> Option<CompletionStats>
    where
        F: Fn(&ReplayJob) -> bool,
    {
        let mut hours = Vec::new();
        for (seed, replay) in strategy.replays.iter().enumerate() {
            let jobs = self.common_jobs(seed).into_iter().filter(|j| includes(j));
            hours.extend(jobs.map(|j| replay.completion_times[&j.id].as_millis() as f64 / HOUR_MS));
        }
        CompletionStats::from_hours(hours)
    }

    /// Returns the lower bound of the mean completion time, averaged over all seeds, in hours.
    pub(super) fn mean_completion_bound_h(&self) -> f64 {
        let seeds = 0..self.workloads.len();
        let bounds = seeds.map(|s| {
            mean_completion_bound(&self.common_jobs(s), self.accelerators, &self.document)
        });
        let total: f64 = bounds.map(|b| b.as_millis() as f64 / HOUR_MS).sum();
        total / self.workloads.len() as f64
    }
}

impl CompletionStats {
    fn from_hours(mut hours: Vec<f64>) -> Option<Self> {
        if hours.is_empty() {
            return None;
        }
        hours.sort_by(f64::total_cmp);
        let percentile =
            |fraction: f64| hours[((hours.len() - 1) as f64 * fraction).round() as usize];
        Some(Self {
            job_count: hours.len(),
            mean_h: hours.iter().sum::<f64>() / hours.len() as f64,
            p50_h: percentile(0.50),
            p95_h: percentile(0.95),
            p99_h: percentile(0.99),
        })
    }

    /// Returns the table cells: the number of jobs, the mean and the percentiles.
    pub(super) fn cells(&self) -> Vec<String> {
        let times = [self.mean_h, self.p50_h, self.p95_h, self.p99_h];
        let times = times.iter().map(|t| format!("{t:.2}"));
        std::iter::once(self.job_count.to_string())
            .chain(times)
            .collect()
    }
}
