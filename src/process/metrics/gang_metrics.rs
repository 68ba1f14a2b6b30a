//! Metrics of gangs and of guaranteed accelerators at a guard.

use {
    super::metrics::{counter, gauge, register},
    prometheus::{Histogram, HistogramOpts, IntCounter, IntGauge, Registry},
};

/// The upper bounds of the buckets of reclaim times, in seconds.
const RECLAIM_BUCKETS_S: [f64; 7] = [0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0];

/// The metrics of gangs and of guaranteed accelerators.
pub struct GangMetrics {
    /// Pieces of gangs that were evicted for the owner of a guaranteed share.
    pub evictions: IntCounter,
    /// The time from the request for a guaranteed share to its reservation, in seconds, where other
    /// work had to be evicted first.
    pub reclaim_seconds: Histogram,
    /// Requests for a guaranteed share that was not reclaimed within the time bound.
    pub late_reclaims: IntCounter,
    /// Guaranteed accelerators that are still held by work that is never evicted.
    pub unmet_accelerators: IntGauge,
    /// Tasks that were throttled because they exceeded the values that their job declares.
    pub throttled_tasks: IntCounter,
    /// Tasks that were stopped because they exceeded the values that their job declares.
    pub overrun_stops: IntCounter,
}

impl GangMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn new(registry: &Registry) -> Self {
        let reclaim = HistogramOpts::new(
            "limpetquay_reclaim_seconds",
            "Times to reclaim guaranteed accelerators from others' work.",
        );
        let reclaim = Histogram::with_opts(reclaim.buckets(RECLAIM_BUCKETS_S.to_vec()));
        Self {
            evictions: counter(
                registry,
                "limpetquay_evictions_total",
                "Pieces of gangs evicted for the owner of a share.",
            ),
            reclaim_seconds: register(registry, reclaim.expect("the name is valid")),
            late_reclaims: counter(
                registry,
                "limpetquay_late_reclaims_total",
                "Claims of a share that were not met within the bound.",
            ),
            unmet_accelerators: gauge(
                registry,
                "limpetquay_guaranteed_unmet_accelerators",
                "Guaranteed accelerators held by work that is never evicted.",
            ),
            throttled_tasks: counter(
                registry,
                "limpetquay_throttled_tasks_total",
                "Tasks throttled because they exceeded what their job declares.",
            ),
            overrun_stops: counter(
                registry,
                "limpetquay_overrun_stops_total",
                "Tasks stopped because they exceeded what their job declares.",
            ),
        }
    }
}
