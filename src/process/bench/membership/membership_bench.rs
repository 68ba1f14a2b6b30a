//! `limpetquay bench membership`.

use {
    super::{FleetCosts, WatchedCost, fleet_stage::FleetPlan, run_fleet, run_watched},
    crate::{
        prelude::*,
        process::bench::{Bench, BenchCx, BenchError, Table, fit_line},
    },
};

/// The upstreams of the sizes that are measured.
const SIZES: [u32; 4] = [10, 100, 300, 950];

/// The upstreams of the sizes of a brief measurement.
const SIZES_QUICK: [u32; 2] = [10, 40];

/// How long each size is watched.
const WATCHED: Duration = Duration::from_secs(4);

/// How long each size is watched when the measurement is brief.
const WATCHED_QUICK: Duration = Duration::from_secs(1);

/// The data centres of a fleet.
const DATA_CENTRES: u32 = 8;

/// The entries of each data centre.
const ENTRIES: u32 = 3;

/// Measures the cost of membership.
pub struct MembershipBench;

impl Bench for MembershipBench {
    fn name(&self) -> &'static str {
        "membership"
    }

    fn summary(&self) -> &'static str {
        "cost of knowing the fleet, for an entry, a guard and the link"
    }

    fn run(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Table>, BenchError> {
        let (sizes, span) = if cx.quick {
            (&SIZES_QUICK[..], WATCHED_QUICK)
        } else {
            (&SIZES[..], WATCHED)
        };
        let mut watched = Vec::new();
        let mut fleets = Vec::new();
        for size in sizes {
            watched.push(run_watched(*size, span)?);
        }
        for size in sizes {
            let plan = FleetPlan {
                data_centres: DATA_CENTRES,
                entries: ENTRIES,
                upstreams: *size,
            };
            let is_largest = Some(size) == sizes.last();
            fleets.push(run_fleet(plan, span, is_largest)?);
        }
        Ok(vec![
            watched_table(&watched),
            fleet_table(&fleets),
            worst_table(&fleets),
            fit_table(&watched, &fleets),
        ])
    }
}

fn watched_table(costs: &[WatchedCost]) -> Table {
    let mut table = Table::new(
        "membership-watched",
        &["upstreams", "known", "core %", "KB/s", "datagrams/s", "MB"],
    );
    for cost in costs {
        table.push(vec![
            cost.upstreams.to_string(),
            cost.known.to_string(),
            format!("{:.2}", cost.cost.core_percent),
            format!("{:.2}", cost.cost.kilobytes),
            format!("{:.1}", cost.cost.datagrams),
            format!("{:.2}", cost.megabytes),
        ]);
    }
    table
}

fn fleet_table(fleets: &[FleetCosts]) -> Table {
    let mut table = Table::new(
        "membership-fleet",
        &[
            "upstreams",
            "entries",
            "watched",
            "loads",
            "entry core %",
            "entry KB/s",
            "entry datagrams/s",
            "guard KB/s",
            "guard core %",
            "link KB/s",
        ],
    );
    for fleet in fleets {
        let plan = fleet.plan;
        let rows = [
            ("still", fleet.idle, fleet.guard_idle, fleet.link_idle),
            (
                "changing",
                fleet.loaded,
                fleet.guard_loaded,
                fleet.link_loaded,
            ),
        ];
        for (loads, entry, guard, link) in rows {
            table.push(vec![
                plan.upstreams.to_string(),
                (plan.entries * plan.data_centres).to_string(),
                fleet.watched.to_string(),
                loads.to_owned(),
                format!("{:.2}", entry.core_percent),
                format!("{:.2}", entry.kilobytes),
                format!("{:.1}", entry.datagrams),
                format!("{guard:.3}"),
                format!("{:.4}", fleet.guard_core_percent),
                format!("{link:.2}"),
            ]);
        }
    }
    table
}

fn worst_table(fleets: &[FleetCosts]) -> Table {
    let columns = ["event", "upstreams", "seconds", "busiest second, KB"];
    let mut table = Table::new("membership-worst", &columns);
    for (plan, worst) in fleets.iter().filter_map(|f| Some((f.plan, f.worst?))) {
        table.push(vec![
            "all entries started anew".to_owned(),
            plan.upstreams.to_string(),
            format!("{:.2}", worst.relearnt.as_secs_f64()),
            format!("{:.1}", worst.relearn_peak),
        ]);
        table.push(vec![
            "a data centre died".to_owned(),
            worst.lost.to_string(),
            format!("{:.2}", worst.noticed.as_secs_f64()),
            format!("{:.1}", worst.loss_peak),
        ]);
    }
    table
}

/// Fits lines over the number of upstreams.
fn fit_table(
    watched: &[WatchedCost],
    fleets: &[FleetCosts],
) -> Table {
    let columns = ["value", "base", "for each upstream", "residual", "at 950"];
    let mut table = Table::new("membership-fit", &columns);
    let mut add = |name: &str, points: Vec<(f64, f64)>| {
        if let Some(fit) = fit_line(&points) {
            table.push(vec![
                name.to_owned(),
                format!("{:.3}", fit.base),
                format!("{:.6}", fit.slope),
                format!("{:.3}", fit.residual),
                format!("{:.2}", fit.at(950.0)),
            ]);
        }
    };
    let by_watched = |value: fn(&WatchedCost) -> f64| {
        let points = watched.iter().map(|c| (f64::from(c.upstreams), value(c)));
        points.collect()
    };
    let by_fleet = |value: fn(&FleetCosts) -> f64| {
        let points = fleets
            .iter()
            .map(|f| (f64::from(f.plan.upstreams), value(f)));
        points.collect()
    };
    add("alone: core %", by_watched(|c| c.cost.core_percent));
    add("alone: KB/s", by_watched(|c| c.cost.kilobytes));
    add("alone: MB", by_watched(|c| c.megabytes));
    add(
        "fleet, still: entry core %",
        by_fleet(|f| f.idle.core_percent),
    );
    add("fleet, still: entry KB/s", by_fleet(|f| f.idle.kilobytes));
    add(
        "fleet, changing: entry core %",
        by_fleet(|f| f.loaded.core_percent),
    );
    add(
        "fleet, changing: entry KB/s",
        by_fleet(|f| f.loaded.kilobytes),
    );
    add("fleet, still: link KB/s", by_fleet(|f| f.link_idle));
    add("fleet, changing: link KB/s", by_fleet(|f| f.link_loaded));
    table
}
