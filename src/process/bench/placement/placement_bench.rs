//! `limpetquay bench placement`.

use {
    super::{
        Deployment, WorkloadSize,
        decision_cost::measure_decision_cost,
        placement_results::{DeploymentResults, HOUR_MS, replay_all},
        placement_tables::{
            class_groups, completion_table, course_table, fragmentation_table, group_table,
            size_groups, weights_table,
        },
        replay_report::SLICE_MS,
        turn_cost::measure_turn_cost,
    },
    crate::process::bench::{Bench, BenchCx, BenchError, Series, Table, write_plot},
};

/// The number of seeds of a full run.
const SEEDS: u64 = 5;

/// The days over which jobs arrive, in a full and in a quick run.
const DAYS: [u64; 2] = [7, 1];

/// Measures completion time and fragmentation over replayed arrivals, and the cost of a decision.
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
            course_table(&results),
            weights_table(&results),
            measure_decision_cost(cx),
            measure_turn_cost(cx)?,
        ])
    }
}

/// Draws the unusable accelerators over time when a folder for plots is named.
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
