//! The cost of membership as the fleet grows.

use {
    super::{FleetCosts, WatchedCost, fleet_stage::FleetPlan, run_fleet, run_watched},
    crate::{
        prelude::*,
        process::bench::{
            BenchCx, BenchError,
            capacity::{Point, Probe, Quantity, target},
        },
    },
};

/// The upstreams of the measured fleets.
const SIZES: [u32; 4] = [10, 100, 300, 950];

/// The upstreams of the fleets of a brief measurement.
const SIZES_QUICK: [u32; 2] = [10, 40];

/// How long each fleet is watched.
const WATCHED: Duration = Duration::from_secs(4);

/// How long each fleet is watched when the measurement is brief.
const WATCHED_QUICK: Duration = Duration::from_secs(1);

/// Measures entries and guards of whole fleets, and an entry that watches all upstreams alone.
pub(in crate::process::bench) struct MembershipProbe;

impl Probe for MembershipProbe {
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let (sizes, span) = if cx.is_quick {
            (&SIZES_QUICK[..], WATCHED_QUICK)
        } else {
            (&SIZES[..], WATCHED)
        };
        let mut alone = Vec::new();
        let mut fleets = Vec::new();
        for size in sizes {
            alone.push(run_watched(*size, span)?);
            fleets.push(run_fleet(plan_of(*size), span, false)?);
        }
        let mut quantities = fleet_quantities(&fleets);
        quantities.push(Quantity {
            name: "resident memory that comes with membership, watching all alone",
            unit: "MB",
            bound: Some(target::MAX_MEMORY_MB),
            points: alone.iter().map(memory_point).collect(),
            ..quantity("entry")
        });
        Ok(quantities)
    }
}

/// Returns a fleet of the target's data centres and entries.
fn plan_of(upstreams: u32) -> FleetPlan {
    FleetPlan {
        data_centres: target::DATA_CENTRES as u32,
        entries: (target::ENTRIES / target::DATA_CENTRES) as u32,
        upstreams,
    }
}

fn quantity(role: &'static str) -> Quantity {
    Quantity {
        role,
        name: "",
        unit: "",
        size_unit: "upstreams",
        target_size: target::WORKERS,
        bound: None,
        mechanism: "process::membership",
        points: Vec::new(),
    }
}

fn memory_point(cost: &WatchedCost) -> Point {
    Point {
        x: f64::from(cost.upstreams),
        y: cost.megabytes,
    }
}

fn fleet_quantities(fleets: &[FleetCosts]) -> Vec<Quantity> {
    let series = |value: fn(&FleetCosts) -> f64| -> Vec<Point> {
        let point = |f: &FleetCosts| Point {
            x: f64::from(f.plan.upstreams),
            y: value(f),
        };
        fleets.iter().map(point).collect()
    };
    let cpu = |role, name, value| Quantity {
        name,
        unit: "% of a core",
        bound: Some(target::MAX_CORE_PERCENT),
        points: series(value),
        ..quantity(role)
    };
    let traffic = |role, name, value| Quantity {
        name,
        unit: "KB/s",
        bound: Some(target::MAX_TRAFFIC_KB_PER_S),
        points: series(value),
        ..quantity(role)
    };
    vec![
        cpu("entry", "processor time of membership, still", |f| {
            f.idle.core_percent
        }),
        cpu(
            "entry",
            "processor time of membership, loads changing",
            |f| f.loaded.core_percent,
        ),
        traffic("entry", "traffic of the busiest, still", |f| {
            f.busiest_idle.max(f.idle.kilobytes)
        }),
        traffic("entry", "traffic of the busiest, loads changing", |f| {
            f.busiest_loaded.max(f.loaded.kilobytes)
        }),
        cpu("guard", "processor time of announcing", |f| {
            f.guard_core_percent
        }),
        traffic("guard", "traffic of announcing, loads changing", |f| {
            f.guard_loaded
        }),
        Quantity {
            bound: None,
            ..traffic(
                "link",
                "traffic of all entries across regions, loads changing",
                |f| f.link_loaded,
            )
        },
    ]
}
