//! Measures how the cost of membership grows with the fleet.

use {
    super::{
        FleetCosts, SingleEntryCost, fleet_state::FleetPlan, measure_fleet, measure_single_entry,
    },
    crate::{
        prelude::*,
        process::bench::{
            BenchCx, BenchError,
            capacity::{Point, Probe, Quantity, target},
        },
    },
};

/// The fleet sizes of a full run, in upstreams.
const UPSTREAM_COUNTS: [u32; 4] = [10, 100, 300, 950];

/// The fleet sizes of a quick run, in upstreams.
const QUICK_UPSTREAM_COUNTS: [u32; 2] = [10, 40];

/// How long each fleet is measured.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);

/// How long each fleet is measured in a quick run.
const QUICK_MEASUREMENT_DURATION: Duration = Duration::from_secs(1);

/// Measures the entries and guards of whole fleets, and a single entry that watches all upstreams.
pub(in crate::process::bench) struct MembershipProbe;

impl Probe for MembershipProbe {
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let (sizes, duration) = if cx.is_quick {
            (&QUICK_UPSTREAM_COUNTS[..], QUICK_MEASUREMENT_DURATION)
        } else {
            (&UPSTREAM_COUNTS[..], MEASUREMENT_DURATION)
        };
        let mut single_entries = Vec::new();
        let mut fleets = Vec::new();
        for size in sizes {
            single_entries.push(measure_single_entry(*size, duration)?);
            fleets.push(measure_fleet(target_fleet_plan(*size), duration, false)?);
        }
        let mut quantities = fleet_quantities(&fleets);
        quantities.push(Quantity {
            name: "resident memory that comes with membership, watching all alone",
            unit: "MB",
            bound: Some(target::MAX_MEMORY_MB),
            points: single_entries.iter().map(memory_point).collect(),
            ..quantity_template("entry")
        });
        Ok(quantities)
    }
}

/// Returns a fleet with the data centres and entries of the target size.
fn target_fleet_plan(upstreams: u32) -> FleetPlan {
    FleetPlan {
        data_centres: target::DATA_CENTRES as u32,
        entries_per_data_centre: (target::ENTRIES / target::DATA_CENTRES) as u32,
        upstreams,
    }
}

fn quantity_template(role: &'static str) -> Quantity {
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

fn memory_point(cost: &SingleEntryCost) -> Point {
    Point {
        x: f64::from(cost.upstreams),
        y: cost.resident_mb,
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
        ..quantity_template(role)
    };
    let traffic = |role, name, value| Quantity {
        name,
        unit: "KB/s",
        bound: Some(target::MAX_TRAFFIC_KB_PER_S),
        points: series(value),
        ..quantity_template(role)
    };
    vec![
        cpu("entry", "processor time of membership, still", |f| {
            f.entry_idle.core_percent
        }),
        cpu(
            "entry",
            "processor time of membership, loads changing",
            |f| f.entry_loaded.core_percent,
        ),
        traffic("entry", "traffic of the busiest, still", |f| {
            f.busiest_entry_idle_kb_per_s.max(f.entry_idle.kb_per_s)
        }),
        traffic("entry", "traffic of the busiest, loads changing", |f| {
            f.busiest_entry_loaded_kb_per_s.max(f.entry_loaded.kb_per_s)
        }),
        cpu("guard", "processor time of announcing", |f| {
            f.guard_idle_core_percent
        }),
        traffic("guard", "traffic of announcing, loads changing", |f| {
            f.guard_loaded_kb_per_s
        }),
        Quantity {
            bound: None,
            ..traffic(
                "link",
                "traffic of all entries across regions, loads changing",
                |f| f.link_loaded_kb_per_s,
            )
        },
    ]
}
