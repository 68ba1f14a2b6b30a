//! The spread of measured times.

use crate::process::bench::BenchError;

/// The longest time that can be counted, in microseconds.
const MAX_US: u64 = 600_000_000;

/// The figures kept of a time.
const DIGITS: u8 = 3;

/// Measured times.
pub(super) struct Spread(hdrhistogram::Histogram<u64>);

impl Spread {
    /// Creates an empty spread.
    pub(super) fn new() -> Result<Self, BenchError> {
        let histogram = hdrhistogram::Histogram::new_with_max(MAX_US, DIGITS);
        let histogram = histogram.map_err(|e| BenchError::Failed(e.to_string()))?;
        Ok(Self(histogram))
    }

    /// Counts a time.
    pub(super) fn add(
        &mut self,
        time: std::time::Duration,
    ) {
        let us = time.as_micros().min(u128::from(MAX_US)) as u64;
        self.0.saturating_record(us);
    }

    /// Returns number, median, 99th percentile and maximum, the times in milliseconds.
    pub(super) fn cells(&self) -> Vec<String> {
        let ms = |us: u64| format!("{:.1}", us as f64 / 1e3);
        vec![
            self.0.len().to_string(),
            ms(self.0.value_at_quantile(0.5)),
            ms(self.0.value_at_quantile(0.99)),
            ms(self.0.max()),
        ]
    }
}
