//! Benchmarks of membership: measures one entry among generated guards and other entries.

mod counting_link;
mod fleet_peers;
mod fleet_run;
mod fleet_state;
mod membership_bench;
mod membership_probe;
mod sample;
mod tables;
mod upstream_generator;
mod watched_run;

pub(super) use membership_probe::MembershipProbe;
pub use {
    fleet_run::{FleetCosts, run_fleet},
    membership_bench::MembershipBench,
    sample::Cost,
    watched_run::{WatchedCost, run_watched},
};
