//! The `limpetquay bench placement` command.

use {
    super::{
        Deployment, WorkloadSize,
        decision_cost::measure_decision_cost,
        pass_cost::measure_pass_cost,
        placement_results::{DeploymentResults, HOUR_MS, replay_all},
        placement_tables::{
            class_groups, completion_table, fragmentation_over_time_table, fragmentation_table,
            group_table, size_groups, weights_table,
        },
        replay_report::SLICE_MS,
    },
    crate::process::bench::{Bench, BenchCx, BenchError, Series, Table, write_plot},
};

/// The number of seeds of a full run.
const SEEDS: u64 = 5;

/// The number of days over which jobs arrive, in a full and in a quick run.
const DAYS: [u64; 2] = [7, 1];

/// Measures completion times and fragmentation with replayed arrivals, and the time of placement
/// decisions and scheduling passes.
pub struct PlacementBench;

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
        let seeds = if cx.is_quick { 1 } else { SEEDS };
        let days = DAYS[usize::from(cx.is_quick)];
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
            fragmentation_over_time_table(&results),
            weights_table(&results),
            measure_decision_cost(cx),
            measure_pass_cost(cx)?,
        ])
    }
}

/// Plots the unusable accelerators over time, for the first seed of each deployment, when an output
/// folder is given.
fn plot_fragmentation(
    cx: &BenchCx,
    results: &[DeploymentResults],
) -> Result<(), BenchError> {
    let Some(out) = &cx.output_dir else {
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
