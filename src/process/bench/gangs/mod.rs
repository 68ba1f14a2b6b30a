//! How fast gangs start and shares are reclaimed, and what holding a gang together costs.

mod bench_guard;
mod gangs_bench;
mod gangs_probe;
mod measurements;
mod sample;

pub use gangs_bench::GangsBench;
pub(super) use gangs_probe::GangsProbe;
