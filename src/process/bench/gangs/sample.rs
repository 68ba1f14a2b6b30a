//! Measured times.

use {crate::prelude::*, hdrhistogram::Histogram};

/// The times of one measurement.
pub(super) struct Sample {
    times_us: Histogram<u64>,
}

impl Sample {
    /// Creates a sample without times.
    pub(super) fn new() -> Self {
        Self {
            times_us: Histogram::new(3).expect("3 digits are valid"),
        }
    }

    /// Adds one time.
    pub(super) fn add(
        &mut self,
        time: Duration,
    ) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let recorded = self.times_us.record(time_us);
        recorded.expect("the histogram grows with its values");
    }

    /// Returns the time that a share of the times does not exceed, in milliseconds.
    pub(super) fn quantile_ms(
        &self,
        share: f64,
    ) -> f64 {
        self.times_us.value_at_quantile(share) as f64 / 1000.0
    }

    /// Returns the median, the 99th percentile and the largest time as cells, in milliseconds.
    pub(super) fn cells(&self) -> Vec<String> {
        let quantiles = [0.5, 0.99, 1.0];
        let cells = quantiles.map(|q| format!("{:.1}", self.quantile_ms(q)));
        cells.to_vec()
    }
}
