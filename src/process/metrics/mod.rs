//! Prometheus metrics of one process, and its use of processor time and memory.

mod gang_metrics;
mod limit_metrics;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod metrics;
mod platform_metrics;
mod process_usage;

pub use {
    gang_metrics::GangMetrics, limit_metrics::LimitMetrics, metrics::Metrics,
    platform_metrics::PlatformMetrics, process_usage::ProcessUsage,
};
