//! The cost of each role at the target size, from measured slopes.

mod capacity_bench;
mod figure;
mod fold_probe;
mod guard_probe;
mod probe;
mod scratch_thread;
pub mod target;

pub use {
    capacity_bench::CapacityBench,
    figure::Figure,
    probe::{Point, Probe, Quantity},
    scratch_thread::measure_in_thread,
};
