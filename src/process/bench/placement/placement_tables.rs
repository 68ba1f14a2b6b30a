//! The result tables of the replays.

use {
    super::{
        ReplayJob, ReplayResult, Strategy,
        placement_results::{DeploymentResults, HOUR_MS},
        replay_report::SLICE_MS,
    },
    crate::{process::bench::Table, version::Class},
};

/// Returns the completion times of all jobs, beside their lower bound.
pub(super) fn completion_table(results: &[DeploymentResults]) -> Table {
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
        let bound = deployment.mean_completion_bound_h();
        for strategy in &deployment.strategies {
            let Some(stats) = deployment.completion_stats(strategy, |_| true) else {
                continue;
            };
            let count = |f: fn(&ReplayResult) -> u32| {
                strategy.replays.iter().map(f).sum::<u32>().to_string()
            };
            let mut row = vec![deployment.service.to_string(), strategy.name.to_owned()];
            row.extend(stats.cells());
            row.push(format!("{:.2}", stats.mean_h / bound));
            row.push(count(|r| r.evictions));
            row.push(count(|r| r.preemptions));
            row.push(count(|r| r.exhausted_jobs));
            row.push(count(|r| r.unfinished_jobs));
            table.push_row(row);
        }
    }
    table
}

/// A named subset of the jobs.
pub(super) struct JobGroup {
    name: &'static str,
    contains: fn(&ReplayJob) -> bool,
}

/// Returns a group for each class.
pub(super) fn class_groups() -> Vec<JobGroup> {
    vec![
        JobGroup {
            name: "urgent",
            contains: |j| j.kind.class == Class::Urgent,
        },
        JobGroup {
            name: "normal",
            contains: |j| j.kind.class == Class::Normal,
        },
        JobGroup {
            name: "deferrable",
            contains: |j| j.kind.class == Class::Deferrable,
        },
    ]
}

/// Returns groups by the number of accelerators of the gang.
pub(super) fn size_groups() -> Vec<JobGroup> {
    vec![
        JobGroup {
            name: "1 accelerator",
            contains: |j| j.kind.gang.total_accelerators() == 1,
        },
        JobGroup {
            name: "2 to 8",
            contains: |j| (2..=8).contains(&j.kind.gang.total_accelerators()),
        },
        JobGroup {
            name: "over 8",
            contains: |j| j.kind.gang.total_accelerators() > 8,
        },
    ]
}

/// Returns the completion times by group of jobs.
pub(super) fn group_table(
    name: &str,
    results: &[DeploymentResults],
    groups: &[JobGroup],
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
                let Some(stats) = deployment.completion_stats(strategy, group.contains) else {
                    continue;
                };
                let mut row = vec![
                    deployment.service.to_string(),
                    group.name.to_owned(),
                    strategy.name.to_owned(),
                ];
                row.extend(stats.cells());
                table.push_row(row);
            }
        }
    }
    table
}

/// Returns the idle and unusable accelerators while jobs arrive.
pub(super) fn fragmentation_table(results: &[DeploymentResults]) -> Table {
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
            table.push_row(vec![
                deployment.service.to_string(),
                strategy.name.to_owned(),
                format!("{:.2}", mean(|r| r.fragmentation.total.mean_idle())),
                format!("{:.2}", mean(|r| r.fragmentation.total.mean_unusable())),
                format!("{:.3}", mean(|r| r.fragmentation.total.unusable_fraction())),
                format!(
                    "{:.3}",
                    mean(|r| r.fragmentation.total.large_shape_fits_fraction())
                ),
            ]);
        }
    }
    table
}

/// Returns the unusable accelerators over time, for the first seed.
pub(super) fn fragmentation_over_time_table(results: &[DeploymentResults]) -> Table {
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
            table.push_row(row);
        }
    }
    table
}

/// Returns, for each seed, completion time and fragmentation with the weights that favour
/// completion time and with those that favour fragmentation.
pub(super) fn weights_table(results: &[DeploymentResults]) -> Table {
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
                    .map(|j| r.completion_times[&j.id].as_secs_f64() / 3600.0);
                hours.sum::<f64>() / jobs.len() as f64
            };
            let [with_completion, with_fragmentation] =
                [&completion.replays[seed], &fragmentation.replays[seed]];
            let [mean_c, mean_f] = [mean(with_completion), mean(with_fragmentation)];
            let unusable = |r: &ReplayResult| r.fragmentation.total.mean_unusable();
            table.push_row(vec![
                deployment.service.to_string(),
                format!("{}", seed + 1),
                format!("{mean_c:.2}"),
                format!("{mean_f:.2}"),
                format!("{:.3}", mean_f / mean_c),
                format!("{:.2}", unusable(with_completion)),
                format!("{:.2}", unusable(with_fragmentation)),
                format!(
                    "{:.3}",
                    unusable(with_fragmentation) / unusable(with_completion)
                ),
            ]);
        }
    }
    table
}
