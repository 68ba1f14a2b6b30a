//! Counters and gauges of one process.

#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod metrics;

pub use metrics::Metrics;
