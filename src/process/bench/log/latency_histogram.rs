//! Summarizes measured times.

use crate::process::bench::BenchError;

/// The longest time that is recorded, in microseconds; longer times are recorded as this one.
const MAX_US: u64 = 600_000_000;

/// The significant decimal digits of a recorded time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of measured times, in microseconds.
pub(super) struct LatencyHistogram(hdrhistogram::Histogram<u64>);

impl LatencyHistogram {
    /// Creates an empty histogram.
    ///
    /// # Errors
    /// [`BenchError::Failed`] when the histogram cannot be created.
    pub(super) fn new() -> Result<Self, BenchError> {
        let histogram = hdrhistogram::Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS);
        let histogram = histogram.map_err(|e| BenchError::Failed(e.to_string()))?;
        Ok(Self(histogram))
    }

    pub(super) fn record_latency(
        &mut self,
        time: std::time::Duration,
    ) {
        let us = time.as_micros().min(u128::from(MAX_US)) as u64;
        self.0.saturating_record(us);
    }

    /// Returns the number of times and their median, 99th percentile and maximum in milliseconds, as
    /// the cells of a table row.
    pub(super) fn table_cells(&self) -> Vec<String> {
        let ms = |us: u64| format!("{:.1}", us as f64 / 1e3);
        vec![
            self.0.len().to_string(),
            ms(self.0.value_at_quantile(0.5)),
            ms(self.0.value_at_quantile(0.99)),
            ms(self.0.max()),
        ]
    }
}
