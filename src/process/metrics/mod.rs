//! Counters and gauges of one process.

mod fleet_metrics;
mod gang_metrics;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod metrics;
mod process_usage;

pub use {
    fleet_metrics::FleetMetrics, gang_metrics::GangMetrics, metrics::Metrics,
    process_usage::ProcessUsage,
};
