//! What callers saw.

use {hdrhistogram::Histogram, std::time::Duration};

/// The largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The significant digits of a latency.
const DIGITS: u8 = 3;

/// The answers to one load.
#[derive(Clone, Debug)]
pub struct Samples {
    /// The latencies of answered requests, in microseconds.
    latencies: Histogram<u64>,
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were told not to have run.
    pub not_run: u64,
    /// Requests with an unknown outcome, or without any.
    pub unknown: u64,
}

impl Default for Samples {
    /// Creates an empty set.
    ///
    /// # Panics
    /// Never, as the histogram's bounds are valid.
    fn default() -> Self {
        Self {
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS)
                .expect("the bounds are valid"),
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
        }
    }
}

impl Samples {
    /// Counts an answer by its HTTP status; `None` when there was none.
    pub fn count(
        &mut self,
        status: Option<u16>,
        took: Duration,
    ) {
        self.sent += 1;
        match status {
            Some(200) => {
                self.answered += 1;
                self.latencies.saturating_record(took.as_micros() as u64);
            }
            Some(429 | 503) => self.not_run += 1,
            _ => self.unknown += 1,
        }
    }

    /// Returns a quantile of the latencies, in milliseconds.
    pub fn quantile_ms(
        &self,
        quantile: f64,
    ) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the p50, p99 and p99.9 in milliseconds as cells of a table.
    pub fn quantile_cells(&self) -> [String; 3] {
        [0.5, 0.99, 0.999].map(|q| format!("{:.2}", self.quantile_ms(q)))
    }
}
