//! The tables of the membership bench.

use {
    super::{Cost, FleetCosts, SingleEntryCost},
    crate::process::bench::{Table, fit_line},
};

/// The number of upstreams at the target size.
const TARGET_UPSTREAMS: f64 = 950.0;

/// The name of a value, and a function that reads it from a cost.
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

/// Returns the cost of entries, guards and the link at each fleet size.
pub(super) fn fleet_table(fleets: &[FleetCosts]) -> Table {
    let mut table = Table::new("membership-fleet", &FLEET_COLUMNS);
    for fleet in fleets {
        let still = [
            fleet.busiest_entry_idle_kb_per_s,
            fleet.guard_idle_kb_per_s,
            fleet.link_idle_kb_per_s,
        ];
        let changing = [
            fleet.busiest_entry_loaded_kb_per_s,
            fleet.guard_loaded_kb_per_s,
            fleet.link_loaded_kb_per_s,
        ];
        table.push_row(fleet_row(fleet, "still", fleet.entry_idle, still));
        table.push_row(fleet_row(fleet, "changing", fleet.entry_loaded, changing));
    }
    table
}

/// Returns one row; `kb_per_s` is the traffic of the busiest entry, of a guard and of the link, in
/// kilobytes a second.
fn fleet_row(
    fleet: &FleetCosts,
    loads: &str,
    entry: Cost,
    kb_per_s: [f64; 3],
) -> Vec<String> {
    let [busiest, guard, link] = kb_per_s;
    let plan = fleet.plan;
    vec![
        plan.upstreams.to_string(),
        (plan.entries_per_data_centre * plan.data_centres).to_string(),
        fleet.watched_upstreams.to_string(),
        loads.to_owned(),
        format!("{:.2}", entry.core_percent),
        format!("{:.2}", entry.kb_per_s),
        format!("{busiest:.2}"),
        format!("{:.1}", entry.datagrams_per_s),
        format!("{guard:.3}"),
        format!("{:.4}", fleet.guard_idle_core_percent),
        format!("{link:.2}"),
    ]
}

/// Returns the cost of a single entry that watches all upstreams.
pub(super) fn single_entry_table(costs: &[SingleEntryCost]) -> Table {
    let mut table = Table::new(
        "membership-watched",
        &["upstreams", "known", "core %", "KB/s", "datagrams/s", "MB"],
    );
    for cost in costs {
        table.push_row(vec![
            cost.upstreams.to_string(),
            cost.known_upstreams.to_string(),
            format!("{:.2}", cost.cost.core_percent),
            format!("{:.2}", cost.cost.kb_per_s),
            format!("{:.1}", cost.cost.datagrams_per_s),
            format!("{:.2}", cost.resident_mb),
        ]);
    }
    table
}

/// Returns the duration and peak traffic of a restart of all entries and of a data centre's loss.
pub(super) fn worst_case_table(fleets: &[FleetCosts]) -> Table {
    let columns = ["event", "upstreams", "seconds", "busiest second, KB"];
    let mut table = Table::new("membership-worst", &columns);
    for (plan, worst) in fleets.iter().filter_map(|f| Some((f.plan, f.worst_case?))) {
        table.push_row(vec![
            "all entries started anew".to_owned(),
            plan.upstreams.to_string(),
            format!("{:.2}", worst.rediscovery_time.as_secs_f64()),
            format!("{:.1}", worst.rediscovery_peak_kb),
        ]);
        table.push_row(vec![
            "a data centre died".to_owned(),
            worst.lost_upstreams.to_string(),
            format!("{:.2}", worst.loss_detection_time.as_secs_f64()),
            format!("{:.1}", worst.loss_peak_kb),
        ]);
    }
    table
}

/// Returns lines that fit the measured values over the number of upstreams.
pub(super) fn fit_table(
    single_entries: &[SingleEntryCost],
    fleets: &[FleetCosts],
) -> Table {
    let columns = ["value", "base", "for each upstream", "residual", "at 950"];
    let mut table = Table::new("membership-fit", &columns);
    let single_entry: [Column<SingleEntryCost>; 3] = [
        ("alone: core %", |c| c.cost.core_percent),
        ("alone: KB/s", |c| c.cost.kb_per_s),
        ("alone: MB", |c| c.resident_mb),
    ];
    for (name, value) in single_entry {
        let points = single_entries
            .iter()
            .map(|c| (f64::from(c.upstreams), value(c)));
        push_fit(&mut table, name, points.collect());
    }
    let together: [Column<FleetCosts>; 8] = [
        ("fleet, still: entry core %", |f| f.entry_idle.core_percent),
        ("fleet, still: entry KB/s", |f| f.entry_idle.kb_per_s),
        ("fleet, still: busiest entry KB/s", |f| {
            f.busiest_entry_idle_kb_per_s
        }),
        ("fleet, still: link KB/s", |f| f.link_idle_kb_per_s),
        ("fleet, changing: entry core %", |f| {
            f.entry_loaded.core_percent
        }),
        ("fleet, changing: entry KB/s", |f| f.entry_loaded.kb_per_s),
        ("fleet, changing: busiest entry KB/s", |f| {
            f.busiest_entry_loaded_kb_per_s
        }),
        ("fleet, changing: link KB/s", |f| f.link_loaded_kb_per_s),
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
