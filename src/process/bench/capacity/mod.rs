//! Measures the cost of each role at several sizes and extrapolates it to the target size.

mod capacity_bench;
mod fitted_quantity;
mod fold_probe;
mod guard_probe;
mod measure_in_thread;
mod probe;
pub mod target;

pub use {
    capacity_bench::CapacityBench,
    fitted_quantity::FittedQuantity,
    measure_in_thread::measure_in_thread,
    probe::{Point, Probe, Quantity},
};
