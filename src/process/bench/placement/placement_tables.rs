//! The tables of the replays.

use {
    super::{
        ReplayJob, ReplayResult, Strategy,
        placement_results::{DeploymentResults, HOUR_MS},
        replay_report::SLICE_MS,
    },
    crate::{process::bench::Table, version::Class},
};

/// Completion times of all jobs, with the bound.
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
            table.push_row(row);
        }
    }
    table
}

/// A group of jobs.
pub(super) struct Group {
    name: &'static str,
    belongs: fn(&ReplayJob) -> bool,
}

/// Returns the classes.
pub(super) fn class_groups() -> Vec<Group> {
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

/// Returns the sizes of gangs.
pub(super) fn size_groups() -> Vec<Group> {
    vec![
        Group {
            name: "1 accelerator",
            belongs: |j| j.kind.gang.total_accelerators() == 1,
        },
        Group {
            name: "2 to 8",
            belongs: |j| (2..=8).contains(&j.kind.gang.total_accelerators()),
        },
        Group {
            name: "over 8",
            belongs: |j| j.kind.gang.total_accelerators() > 8,
        },
    ]
}

/// Completion times by group.
pub(super) fn group_table(
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
                table.push_row(row);
            }
        }
    }
    table
}

/// Idle and unusable accelerators while jobs arrive.
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
                format!("{:.3}", mean(|r| r.fragmentation.total.unusable_part())),
                format!("{:.3}", mean(|r| r.fragmentation.total.large_fits_part())),
            ]);
        }
    }
    table
}

/// The unusable accelerators over time, of the first seed.
pub(super) fn course_table(results: &[DeploymentResults]) -> Table {
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

/// What the one weighing gains and costs against the other, seed by seed.
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
                    .map(|j| r.completions[&j.id].as_secs_f64() / 3600.0);
                hours.sum::<f64>() / jobs.len() as f64
            };
            let [c, f] = [&completion.replays[seed], &fragmentation.replays[seed]];
            let [mean_c, mean_f] = [mean(c), mean(f)];
            let unusable = |r: &ReplayResult| r.fragmentation.total.mean_unusable();
            table.push_row(vec![
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
