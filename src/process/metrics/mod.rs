//! Counters and gauges of one process.

mod gang_metrics;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod metrics;

pub use {gang_metrics::GangMetrics, metrics::Metrics};
