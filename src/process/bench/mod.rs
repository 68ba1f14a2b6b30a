//! Benchmarks under bounded load, whose results are tables, CSV files and plots.

#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod bench;
pub mod capacity;
mod fit;
pub mod gangs;
mod log;
pub mod membership;
mod page;
pub mod placement;
mod plot;
pub mod requests;
mod table;

pub use {
    bench::{Bench, BenchCx, BenchError, benches},
    fit::{LineFit, fit_line},
    page::update_page,
    plot::{Series, write_plot},
    table::Table,
};
