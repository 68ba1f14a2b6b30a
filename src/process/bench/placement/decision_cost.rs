//! Measures the time of one placement decision by the size of the fleet.

use {
    crate::{
        connection::GuaranteedShare,
        prelude::*,
        process::bench::{BenchCx, Table, fit_line},
        request::{
            FleetView, GangPlacementRequest, PlacementPolicy, ShapeMix, WeighedPlacement,
            WorkerCapacity,
        },
        version::{Class, Fleet, FleetWorker, Shape},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Instant,
};

/// The sizes of the measured fleets, in workers; the last one is that of the target.
const FLEET_SIZES: [u32; 3] = [11, 100, 950];

/// The accelerators of the target's fleet; smaller fleets have the same number for each worker.
const TARGET_ACCELERATORS: u32 = 1_800;

/// The tasks that run at the target, where several share a worker; smaller fleets are listed with a
/// proportional number.
const TARGET_TASKS: u32 = 17_000;

/// The probability with which an accelerator is in use.
const HELD_FRACTION: f64 = 0.8;

const ACCOUNTS: u32 = 44;

/// The number of timed decisions, in a full and in a quick run.
const DECISION_COUNTS: [u32; 2] = [400, 20];

/// Measures decisions for gangs of several shapes on each fleet, and fits a line to each shape.
pub(super) fn measure_decision_cost(cx: &BenchCx) -> Table {
    let columns = [
        "gang",
        "workers",
        "accelerators",
        "tasks",
        "mean us",
        "us / worker",
    ];
    let mut table = Table::new("placement-decision-cost", &columns);
    let decisions = DECISION_COUNTS[usize::from(cx.is_quick)];
    for gang in [
        "1x1 any",
        "1x2 worker",
        "2x2 rack",
        "8x2 data-centre",
        "64x1 region",
    ] {
        let gang: Shape = gang.parse().unwrap_or(Shape::SINGLE);
        let mut points = Vec::new();
        for workers in FLEET_SIZES {
            let view = loaded_fleet_view(workers, cx.seed);
            let micros = time_decisions(&view, gang, decisions);
            points.push((f64::from(workers), micros));
            table.push_row(vec![
                gang.to_string(),
                workers.to_string(),
                total_accelerators(&view).to_string(),
                (TARGET_TASKS * workers / FLEET_SIZES[2]).to_string(),
                format!("{micros:.1}"),
                format!("{:.3}", micros / f64::from(workers)),
            ]);
        }
        if let Some(line) = fit_line(&points) {
            table.push_row(vec![
                format!("{gang}: slope"),
                String::new(),
                String::new(),
                String::new(),
                format!("{:.1}", line.intercept),
                format!("{:.3}", line.slope),
            ]);
        }
    }
    table
}

fn total_accelerators(view: &FleetView) -> u32 {
    let workers = view.fleet.workers().iter();
    workers.map(|w| w.accelerators.len()).sum()
}

/// Returns the mean time of a placement decision for `gang`, in microseconds.
pub(super) fn time_decisions(
    view: &FleetView,
    gang: Shape,
    decisions: u32,
) -> f64 {
    let mix = Rc::new(target_shape_mix());
    let started_at = Instant::now();
    let mut placed_count = 0;
    for i in 0..decisions {
        let request = GangPlacementRequest {
            account: format!("team-{}", i % ACCOUNTS).as_str().into(),
            gang,
            class: Class::Normal,
            evictable: i % 2 == 0,
            wait_ratio: 0.0,
            may_hold_back: false,
            completion_weight: 0.5,
            fragmentation_weight: 0.5,
            mix: mix.clone(),
        };
        placed_count += u32::from(WeighedPlacement.place(&request, view).is_placed());
    }
    let total_us = started_at.elapsed().as_secs_f64() * 1e6;
    std::hint::black_box(placed_count);
    total_us / f64::from(decisions)
}

/// Returns a mix of eight shapes, as the job kinds of many teams have.
fn target_shape_mix() -> ShapeMix {
    let shapes = [
        "1x1 any",
        "1x2 worker",
        "2x1 rack",
        "2x2 rack",
        "4x2 rack",
        "8x2 data-centre",
        "16x1 region",
        "64x1 any",
    ];
    ShapeMix::from_shapes(shapes.iter().filter_map(|s| s.parse().ok()))
}

/// Returns a fleet of eight data centres in two regions. Accelerators are in use at random
/// ([`HELD_FRACTION`]), and half of each worker's are guaranteed to a random account.
pub(super) fn loaded_fleet_view(
    workers: u32,
    seed: u64,
) -> FleetView {
    let mut rng = StdRng::seed_from_u64(seed);
    let total = TARGET_ACCELERATORS * workers / FLEET_SIZES[2];
    let fleet = (0..workers).map(|i| FleetWorker {
        upstream: format!("worker-{i:04}").as_str().into(),
        region: format!("region-{}", i % 2).as_str().into(),
        data_centre: format!("dc-{}", i % 8).as_str().into(),
        rack: format!("rack-{}", i / 24).as_str().into(),
        accelerators: AcceleratorSet::first(total / workers + u32::from(i < total % workers)),
        max_plain_tasks: 0,
    });
    let fleet = Fleet::new(fleet.collect());
    let capacities = fleet.workers().iter().map(|worker| {
        let held = worker
            .accelerators
            .indexes()
            .filter(|_| rng.random_bool(HELD_FRACTION))
            .count();
        let held = AcceleratorSet::first(held as u32);
        let share = GuaranteedShare {
            account: format!("team-{}", rng.random_range(0..ACCOUNTS))
                .as_str()
                .into(),
            accelerators: AcceleratorSet::first(worker.accelerators.len() / 2),
        };
        WorkerCapacity {
            idle: worker.accelerators.without(held),
            free_plain_tasks: worker.max_plain_tasks,
            guaranteed: vec![share],
            evictable: AcceleratorSet::empty(),
            claimed: false,
        }
    });
    FleetView {
        capacities: capacities.collect(),
        fleet: Rc::new(fleet),
    }
}
