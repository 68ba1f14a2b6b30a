//! Benchmarks of membership: measures one entry among generated guards and other entries.

mod counting_link;
mod fleet_costs;
mod fleet_peers;
mod fleet_state;
mod membership_bench;
mod membership_probe;
mod sample;
mod single_entry_cost;
mod tables;
mod upstream_generator;

pub(super) use membership_probe::MembershipProbe;
pub use {
    fleet_costs::{FleetCosts, measure_fleet},
    membership_bench::MembershipBench,
    sample::Cost,
    single_entry_cost::{SingleEntryCost, measure_single_entry},
};
