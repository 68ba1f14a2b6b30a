//! `limpetquay bench placement`.

use {
    super::{
        Deployment, Replay, ReplayJob, ReplayResult, Strategy, Workload, WorkloadSize,
        bound::mean_completion_bound, decision_cost::measure_decision_cost,
        replay_report::SLICE_MS,
    },
    crate::{
        prelude::*,
        process::bench::{Bench, BenchCx, BenchError, Series, Table, write_plot},
        version::Class,
    },
    std::collections::BTreeSet,
};

/// Milliseconds of one hour.
const HOUR_MS: f64 = 3_600_000.0;

/// The number of seeds of a full run.
const SEEDS: u64 = 5;

/// The days over which jobs arrive, in a full and in a quick run.
const DAYS: [u64; 2] = [7, 1];

/// Measures completion time and fragmentation over replayed arrivals, and the cost of a decision.
pub struct PlacementBench;

/// The results of one strategy, over all seeds of a deployment.
struct StrategyResults {
    name: &'static str,
    replays: Vec<ReplayResult>,
}

/// The replays of one deployment.
struct DeploymentResults {
    service: Arc<str>,
    workloads: Vec<Workload>,
    accelerators: u32,
    document: Document,
    strategies: Vec<StrategyResults>,
}

/// Mean and percentiles of completion times, in hours.
struct Spread {
    jobs: usize,
    mean: f64,
    p50: f64,
    p95: f64,
    p99: f64,
}

impl Bench for PlacementBench {
    fn name(&self) -> &'static str {
        "placement"
    }

    fn summary(&self) -> &'static str {
        "replay arrivals: completion time, fragmentation, cost of a decision"
    }

    fn run(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Table>, BenchError> {
        let seeds = if cx.quick { 1 } else { SEEDS };
        let days = DAYS[usize::from(cx.quick)];
        let mut results = Vec::new();
        for deployment in Deployment::examples()? {
            results.push(replay_all(
                &deployment,
                WorkloadSize { days },
                cx.seed,
                seeds,
            ));
        }
        plot_fragmentation(cx, &results)?;
        Ok(vec![
            completion_table(&results),
            group_table("placement-class", &results, &class_groups()),
            group_table("placement-size", &results, &size_groups()),
            fragmentation_table(&results),
            course_table(&results),
            weights_table(&results),
            measure_decision_cost(cx),
        ])
    }
}

fn replay_all(
    deployment: &Deployment,
    size: WorkloadSize,
    first_seed: u64,
    seeds: u64,
) -> DeploymentResults {
    let seeds = first_seed..first_seed + seeds;
    let workloads: Vec<Workload> = seeds.map(|s| Workload::draw(deployment, size, s)).collect();
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
    /// Returns the jobs of one seed that every strategy finished, so that all are compared over
    /// the same jobs.
    fn common_jobs(
        &self,
        seed: usize,
    ) -> Vec<&ReplayJob> {
        let finished = self.strategies.iter().map(|s| {
            let completions = s.replays[seed].completions.keys();
            completions.copied().collect::<BTreeSet<JobId>>()
        });
        let common = finished.reduce(|a, b| &a & &b).unwrap_or_default();
        let jobs = self.workloads[seed].jobs.iter();
        jobs.filter(|j| common.contains(&j.id)).collect()
    }

    /// Returns the completion times of a strategy over the common jobs of a group.
    fn spread<F>(
        &self,
        strategy: &StrategyResults,
        belongs: F,
    ) -> Option<Spread>
    where
        F: Fn(&ReplayJob) -> bool,
    {
        let mut hours = Vec::new();
        for (seed, replay) in strategy.replays.iter().enumerate() {
            let jobs = self.common_jobs(seed).into_iter().filter(|j| belongs(j));
            hours.extend(jobs.map(|j| replay.completions[&j.id].as_millis() as f64 / HOUR_MS));
        }
        Spread::of(hours)
    }

    /// Returns the mean completion time that no scheduler beats, in hours.
    fn bound(&self) -> f64 {
        let seeds = 0..self.workloads.len();
        let bounds = seeds.map(|s| {
            mean_completion_bound(&self.common_jobs(s), self.accelerators, &self.document)
        });
        let total: f64 = bounds.map(|b| b.as_millis() as f64 / HOUR_MS).sum();
        total / self.workloads.len() as f64
    }
}

impl Spread {
    fn of(mut hours: Vec<f64>) -> Option<Self> {
        if hours.is_empty() {
            return None;
        }
        hours.sort_by(f64::total_cmp);
        let percentile = |part: f64| hours[((hours.len() - 1) as f64 * part).round() as usize];
        Some(Self {
            jobs: hours.len(),
            mean: hours.iter().sum::<f64>() / hours.len() as f64,
            p50: percentile(0.50),
            p95: percentile(0.95),
            p99: percentile(0.99),
        })
    }

    fn cells(&self) -> Vec<String> {
        let times = [self.mean, self.p50, self.p95, self.p99];
        let times = times.iter().map(|t| format!("{t:.2}"));
        std::iter::once(self.jobs.to_string())
            .chain(times)
            .collect()
    }
}

/// Completion times of all jobs, with the bound.
fn completion_table(results: &[DeploymentResults]) -> Table {
    let columns = [
        "deployment",
        "strategy",
        "jobs",
        "mean h",
        "p50 h",
        "p95 h",
        "p99 h",
        "mean / bound",
        "evicted",
        "gave way",
        "given up",
        "open",
    ];
    let mut table = Table::new("placement-completion", &columns);
    for deployment in results {
        let bound = deployment.bound();
        for strategy in &deployment.strategies {
            let Some(spread) = deployment.spread(strategy, |_| true) else {
                continue;
            };
            let count = |f: fn(&ReplayResult) -> u32| {
                strategy.replays.iter().map(f).sum::<u32>().to_string()
            };
            let mut row = vec![deployment.service.to_string(), strategy.name.to_owned()];
            row.extend(spread.cells());
            row.push(format!("{:.2}", spread.mean / bound));
            row.push(count(|r| r.evictions));
            row.push(count(|r| r.gave_way));
            row.push(count(|r| r.given_up));
            row.push(count(|r| r.open));
            table.push(row);
        }
    }
    table
}

/// A group of jobs.
struct Group {
    name: &'static str,
    belongs: fn(&ReplayJob) -> bool,
}

fn class_groups() -> Vec<Group> {
    vec![
        Group {
            name: "urgent",
            belongs: |j| j.kind.class == Class::Urgent,
        },
        Group {
            name: "normal",
            belongs: |j| j.kind.class == Class::Normal,
        },
        Group {
            name: "deferrable",
            belongs: |j| j.kind.class == Class::Deferrable,
        },
    ]
}

fn size_groups() -> Vec<Group> {
    vec![
        Group {
            name: "1 accelerator",
            belongs: |j| j.kind.gang.total() == 1,
        },
        Group {
            name: "2 to 8",
            belongs: |j| (2..=8).contains(&j.kind.gang.total()),
        },
        Group {
            name: "over 8",
            belongs: |j| j.kind.gang.total() > 8,
        },
    ]
}

/// Completion times by group.
fn group_table(
    name: &str,
    results: &[DeploymentResults],
    groups: &[Group],
) -> Table {
    let columns = [
        "deployment",
        "group",
        "strategy",
        "jobs",
        "mean h",
        "p50 h",
        "p95 h",
        "p99 h",
    ];
    let mut table = Table::new(name, &columns);
    for deployment in results {
        for group in groups {
            for strategy in &deployment.strategies {
                let Some(spread) = deployment.spread(strategy, group.belongs) else {
                    continue;
                };
                let mut row = vec![
                    deployment.service.to_string(),
                    group.name.to_owned(),
                    strategy.name.to_owned(),
                ];
                row.extend(spread.cells());
                table.push(row);
            }
        }
    }
    table
}

/// Idle and unusable accelerators while jobs arrive.
fn fragmentation_table(results: &[DeploymentResults]) -> Table {
    let columns = [
        "deployment",
        "strategy",
        "idle mean",
        "unusable mean",
        "unusable part",
        "largest fits",
    ];
    let mut table = Table::new("placement-fragmentation", &columns);
    for deployment in results {
        for strategy in &deployment.strategies {
            let mean = |f: fn(&ReplayResult) -> f64| {
                strategy.replays.iter().map(f).sum::<f64>() / strategy.replays.len() as f64
            };
            table.push(vec![
                deployment.service.to_string(),
                strategy.name.to_owned(),
                format!("{:.2}", mean(|r| r.fragmentation.total.mean_idle())),
                format!("{:.2}", mean(|r| r.fragmentation.total.mean_unusable())),
                format!("{:.3}", mean(|r| r.fragmentation.total.unusable_part())),
                format!("{:.3}", mean(|r| r.fragmentation.total.large_fits_part())),
            ]);
        }
    }
    table
}

/// The unusable accelerators over time, of the first seed.
fn course_table(results: &[DeploymentResults]) -> Table {
    let names = Strategy::all().into_iter().map(|s| s.name);
    let columns: Vec<&str> = ["deployment", "from h"].into_iter().chain(names).collect();
    let mut table = Table::new("placement-fragmentation-over-time", &columns);
    for deployment in results {
        let first = &deployment.strategies[0].replays[0].fragmentation.slices;
        for slice in first.keys() {
            let mut row = vec![
                deployment.service.to_string(),
                format!("{}", slice * SLICE_MS / HOUR_MS as u64),
            ];
            for strategy in &deployment.strategies {
                let slices = &strategy.replays[0].fragmentation.slices;
                let unusable = slices.get(slice).map(|s| s.mean_unusable());
                row.push(unusable.map_or_else(String::new, |u| format!("{u:.2}")));
            }
            table.push(row);
        }
    }
    table
}

/// What the one weighing gains and costs against the other, seed by seed.
fn weights_table(results: &[DeploymentResults]) -> Table {
    let columns = [
        "deployment",
        "seed",
        "completion: mean h",
        "fragmentation: mean h",
        "ratio",
        "completion: unusable",
        "fragmentation: unusable",
        "ratio ",
    ];
    let mut table = Table::new("placement-weights", &columns);
    for deployment in results {
        let [completion, fragmentation, ..] = deployment.strategies.as_slice() else {
            continue;
        };
        for seed in 0..deployment.workloads.len() {
            let jobs = deployment.common_jobs(seed);
            let mean = |r: &ReplayResult| {
                let hours = jobs
                    .iter()
                    .map(|j| r.completions[&j.id].as_secs_f64() / 3600.0);
                hours.sum::<f64>() / jobs.len() as f64
            };
            let [c, f] = [&completion.replays[seed], &fragmentation.replays[seed]];
            let [mean_c, mean_f] = [mean(c), mean(f)];
            let unusable = |r: &ReplayResult| r.fragmentation.total.mean_unusable();
            table.push(vec![
                deployment.service.to_string(),
                format!("{}", seed + 1),
                format!("{mean_c:.2}"),
                format!("{mean_f:.2}"),
                format!("{:.3}", mean_f / mean_c),
                format!("{:.2}", unusable(c)),
                format!("{:.2}", unusable(f)),
                format!("{:.3}", unusable(f) / unusable(c)),
            ]);
        }
    }
    table
}

/// Draws the unusable accelerators over time when a folder for plots is named.
fn plot_fragmentation(
    cx: &BenchCx,
    results: &[DeploymentResults],
) -> Result<(), BenchError> {
    let Some(out) = &cx.out else {
        return Ok(());
    };
    std::fs::create_dir_all(out)?;
    for deployment in results {
        let lines = deployment.strategies.iter().map(|s| Series {
            name: s.name.to_owned(),
            points: s.replays[0]
                .fragmentation
                .slices
                .iter()
                .map(|(slice, sums)| ((slice * SLICE_MS) as f64 / HOUR_MS, sums.mean_unusable()))
                .collect(),
        });
        let lines: Vec<Series> = lines.collect();
        let path = out.join(format!(
            "placement-fragmentation-{}.svg",
            deployment.service
        ));
        let title = format!("{}: idle accelerators of no use", deployment.service);
        write_plot(&path, &title, "hours", "accelerators", &lines)?;
    }
    Ok(())
}
