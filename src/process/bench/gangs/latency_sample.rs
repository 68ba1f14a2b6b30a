//! Samples of measured latencies.

use {crate::prelude::*, hdrhistogram::Histogram};

/// The latencies recorded by one measurement.
pub(super) struct LatencySample {
    latencies_us: Histogram<u64>,
}

impl LatencySample {
    /// Creates an empty sample.
    pub(super) fn new() -> Self {
        Self {
            latencies_us: Histogram::new(3).expect("3 digits are valid"),
        }
    }

    /// Records a latency.
    pub(super) fn record(
        &mut self,
        latency: Duration,
    ) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let recorded = self.latencies_us.record(latency_us);
        recorded.expect("the histogram grows with its values");
    }

    /// Returns a quantile of the latencies, in milliseconds.
    pub(super) fn quantile_ms(
        &self,
        quantile: f64,
    ) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the median, the 99th percentile and the maximum in milliseconds as table cells.
    pub(super) fn quantile_cells(&self) -> Vec<String> {
        let quantiles = [0.5, 0.99, 1.0];
        let cells = quantiles.map(|q| format!("{:.1}", self.quantile_ms(q)));
        cells.to_vec()
    }
}
