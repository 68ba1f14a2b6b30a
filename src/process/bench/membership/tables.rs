//! The tables of the membership bench.

use {
    super::{Cost, FleetCosts, WatchedCost},
    crate::process::bench::{Table, fit_line},
};

/// The upstreams of the target size.
const TARGET_UPSTREAMS: f64 = 950.0;

/// A value of a cost, with its name.
type Column<C> = (&'static str, fn(&C) -> f64);

/// The columns of the table of fleets.
const FLEET_COLUMNS: [&str; 11] = [
    "upstreams",
    "entries",
    "watched",
    "loads",
    "entry core %",
    "entry KB/s",
    "busiest KB/s",
    "entry datagrams/s",
    "guard KB/s",
    "guard core %",
    "link KB/s",
];

/// Tells what the parts of fleets cost.
pub(super) fn fleet_table(fleets: &[FleetCosts]) -> Table {
    let mut table = Table::new("membership-fleet", &FLEET_COLUMNS);
    for fleet in fleets {
        let still = [fleet.busiest_idle, fleet.guard_idle, fleet.link_idle];
        let changing = [fleet.busiest_loaded, fleet.guard_loaded, fleet.link_loaded];
        table.push_row(fleet_row(fleet, "still", fleet.idle, still));
        table.push_row(fleet_row(fleet, "changing", fleet.loaded, changing));
    }
    table
}

/// Returns one row; `kilobytes` are those of the busiest entry, of a guard and of the link.
fn fleet_row(
    fleet: &FleetCosts,
    loads: &str,
    entry: Cost,
    kilobytes: [f64; 3],
) -> Vec<String> {
    let [busiest, guard, link] = kilobytes;
    let plan = fleet.plan;
    vec![
        plan.upstreams.to_string(),
        (plan.entries * plan.data_centres).to_string(),
        fleet.watched.to_string(),
        loads.to_owned(),
        format!("{:.2}", entry.core_percent),
        format!("{:.2}", entry.kilobytes),
        format!("{busiest:.2}"),
        format!("{:.1}", entry.datagrams),
        format!("{guard:.3}"),
        format!("{:.4}", fleet.guard_core_percent),
        format!("{link:.2}"),
    ]
}

/// Tells what an entry costs that watches all upstreams alone.
pub(super) fn watched_table(costs: &[WatchedCost]) -> Table {
    let mut table = Table::new(
        "membership-watched",
        &["upstreams", "known", "core %", "KB/s", "datagrams/s", "MB"],
    );
    for cost in costs {
        table.push_row(vec![
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

/// Tells what the worst minute brings.
pub(super) fn worst_table(fleets: &[FleetCosts]) -> Table {
    let columns = ["event", "upstreams", "seconds", "busiest second, KB"];
    let mut table = Table::new("membership-worst", &columns);
    for (plan, worst) in fleets.iter().filter_map(|f| Some((f.plan, f.worst?))) {
        table.push_row(vec![
            "all entries started anew".to_owned(),
            plan.upstreams.to_string(),
            format!("{:.2}", worst.relearnt.as_secs_f64()),
            format!("{:.1}", worst.relearn_peak),
        ]);
        table.push_row(vec![
            "a data centre died".to_owned(),
            worst.lost.to_string(),
            format!("{:.2}", worst.noticed.as_secs_f64()),
            format!("{:.1}", worst.loss_peak),
        ]);
    }
    table
}

/// Fits lines over the number of upstreams.
pub(super) fn fit_table(
    watched: &[WatchedCost],
    fleets: &[FleetCosts],
) -> Table {
    let columns = ["value", "base", "for each upstream", "residual", "at 950"];
    let mut table = Table::new("membership-fit", &columns);
    let alone: [Column<WatchedCost>; 3] = [
        ("alone: core %", |c| c.cost.core_percent),
        ("alone: KB/s", |c| c.cost.kilobytes),
        ("alone: MB", |c| c.megabytes),
    ];
    for (name, value) in alone {
        let points = watched.iter().map(|c| (f64::from(c.upstreams), value(c)));
        push_fit(&mut table, name, points.collect());
    }
    let together: [Column<FleetCosts>; 8] = [
        ("fleet, still: entry core %", |f| f.idle.core_percent),
        ("fleet, still: entry KB/s", |f| f.idle.kilobytes),
        ("fleet, still: busiest entry KB/s", |f| f.busiest_idle),
        ("fleet, still: link KB/s", |f| f.link_idle),
        ("fleet, changing: entry core %", |f| f.loaded.core_percent),
        ("fleet, changing: entry KB/s", |f| f.loaded.kilobytes),
        ("fleet, changing: busiest entry KB/s", |f| f.busiest_loaded),
        ("fleet, changing: link KB/s", |f| f.link_loaded),
    ];
    for (name, value) in together {
        let points = fleets
            .iter()
            .map(|f| (f64::from(f.plan.upstreams), value(f)));
        push_fit(&mut table, name, points.collect());
    }
    table
}

fn push_fit(
    table: &mut Table,
    name: &str,
    points: Vec<(f64, f64)>,
) {
    if let Some(fit) = fit_line(&points) {
        table.push_row(vec![
            name.to_owned(),
            format!("{:.3}", fit.intercept),
            format!("{:.6}", fit.slope),
            format!("{:.3}", fit.residual),
            format!("{:.2}", fit.value_at(TARGET_UPSTREAMS)),
        ]);
    }
}
