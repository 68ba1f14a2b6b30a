//! Benchmarks of the start of gangs, the reclaim of guaranteed shares and the cost of running
//! gangs.

mod bench_guard;
mod gangs_bench;
mod gangs_probe;
mod guard_fleet;
mod latency_sample;

pub use gangs_bench::GangsBench;
pub(super) use gangs_probe::GangsProbe;
