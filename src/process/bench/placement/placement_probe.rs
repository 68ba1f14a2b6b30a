//! The cost of placement as the fleet and the queue grow.

use {
    super::{
        decision_cost::{crowded_view, time_decisions},
        turn_cost::time_first_turn,
    },
    crate::{
        process::bench::{
            BenchCx, BenchError,
            capacity::{Point, Probe, Quantity, target},
        },
        version::Shape,
    },
};

/// The workers of the measured fleets.
const FLEETS: [u32; 4] = [11, 100, 300, 950];

/// The waiting jobs of the measured queues.
const WAITING: [u32; 4] = [100, 500, 1_000, 2_000];

/// The decisions that are timed, in a full and in a quick run.
const DECISIONS: [u32; 2] = [400, 20];

/// The gang of the timed decisions.
const GANG: &str = "64x1 region";

/// How many jobs may wait at the target: as many as arrive in a day.
const WAITING_JOBS: f64 = target::JOBS_PER_DAY;

/// Measures decisions of the policy and whole turns of the queue.
pub(in crate::process::bench) struct PlacementProbe;

impl Probe for PlacementProbe {
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let gang: Shape = GANG.parse().unwrap_or(Shape::SINGLE);
        let decisions = DECISIONS[usize::from(cx.is_quick)];
        let micros = FLEETS.iter().map(|workers| Point {
            x: f64::from(*workers),
            y: time_decisions(&crowded_view(*workers, cx.seed), gang, decisions),
        });
        let mut turns = Vec::new();
        for waiting in WAITING {
            turns.push(Point {
                x: f64::from(waiting),
                y: time_first_turn(waiting, cx.seed)?,
            });
        }
        Ok(vec![
            Quantity {
                role: "entry",
                name: "one decision for a gang of 64",
                unit: "us",
                size: "workers",
                target: target::WORKERS,
                bound: Some(target::URGENT_START_S * 1e6),
                mechanism: "request::WeighedPlacement",
                points: micros.collect(),
            },
            Quantity {
                role: "entry",
                name: "one turn, 950 workers and 17,000 running jobs",
                unit: "ms",
                size: "waiting jobs",
                target: WAITING_JOBS,
                bound: Some(target::URGENT_START_S * 1e3),
                mechanism: "process::job_queue",
                points: turns,
            },
        ])
    }
}
