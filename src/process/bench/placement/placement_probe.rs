//! Measures the time of placement decisions as the fleet grows, and of scheduling passes as the
//! queue grows.

use {
    super::{
        decision_cost::{loaded_fleet_view, time_decisions},
        pass_cost::time_first_pass,
    },
    crate::{
        process::bench::{
            BenchCx, BenchError,
            capacity::{Point, Probe, Quantity, target},
        },
        version::Shape,
    },
};

/// The sizes of the measured fleets, in workers.
const FLEET_SIZES: [u32; 4] = [11, 100, 300, 950];

/// The sizes of the measured queues, in waiting jobs.
const QUEUE_SIZES: [u32; 4] = [100, 500, 1_000, 2_000];

/// The number of timed decisions, in a full and in a quick run.
const DECISION_COUNTS: [u32; 2] = [400, 20];

/// The gang that the timed decisions place.
const GANG: &str = "64x1 region";

/// The number of waiting jobs at the target: as many as arrive in a day.
const TARGET_WAITING_JOBS: f64 = target::JOBS_PER_DAY;

/// Measures single decisions of the placement policy and whole scheduling passes.
pub(in crate::process::bench) struct PlacementProbe;

impl Probe for PlacementProbe {
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let gang: Shape = GANG.parse().unwrap_or(Shape::SINGLE);
        let decisions = DECISION_COUNTS[usize::from(cx.is_quick)];
        let decisions_us = FLEET_SIZES.iter().map(|workers| Point {
            x: f64::from(*workers),
            y: time_decisions(&loaded_fleet_view(*workers, cx.seed), gang, decisions),
        });
        let mut passes = Vec::new();
        for waiting in QUEUE_SIZES {
            passes.push(Point {
                x: f64::from(waiting),
                y: time_first_pass(waiting, cx.seed)?,
            });
        }
        Ok(vec![
            Quantity {
                role: "entry",
                name: "one decision for a gang of 64",
                unit: "us",
                size_unit: "workers",
                target_size: target::WORKERS,
                bound: Some(target::MAX_URGENT_START_S * 1e6),
                mechanism: "request::WeighedPlacement",
                points: decisions_us.collect(),
            },
            Quantity {
                role: "entry",
                name: "one turn, 950 workers and 17,000 running jobs",
                unit: "ms",
                size_unit: "waiting jobs",
                target_size: TARGET_WAITING_JOBS,
                bound: Some(target::MAX_URGENT_START_S * 1e3),
                mechanism: "process::job_queue",
                points: passes,
            },
        ])
    }
}
