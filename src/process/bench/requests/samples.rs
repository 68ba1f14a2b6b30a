//! The outcomes and latencies that callers observed.

use {hdrhistogram::Histogram, std::time::Duration};

/// The largest latency that is recorded, in microseconds. Longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The number of significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The outcomes of the requests of one load.
#[derive(Clone, Debug)]
pub struct Samples {
    /// The latencies of answered requests, in microseconds.
    latencies_us: Histogram<u64>,
    /// The number of requests sent.
    pub sent: u64,
    /// The number of requests answered with status 200.
    pub answered: u64,
    /// The number of requests answered with status 429 or 503, which means that they were not run.
    pub not_run: u64,
    /// The number of requests with any other status or without an answer, which may have run.
    pub unknown: u64,
}

impl Default for Samples {
    /// Creates an empty set of samples.
    ///
    /// # Panics
    /// Never, as the histogram's bounds are valid.
    fn default() -> Self {
        Self {
            latencies_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid"),
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
        }
    }
}

impl Samples {
    /// Records the outcome of a request by its HTTP status, which is `None` if there was no answer.
    pub fn record_outcome(
        &mut self,
        status: Option<u16>,
        latency: Duration,
    ) {
        self.sent += 1;
        match status {
            Some(200) => {
                self.answered += 1;
                self.latencies_us
                    .saturating_record(latency.as_micros() as u64);
            }
            Some(429 | 503) => self.not_run += 1,
            _ => self.unknown += 1,
        }
    }

    /// Returns a quantile of the latencies of answered requests, in milliseconds.
    pub fn quantile_ms(
        &self,
        quantile: f64,
    ) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the p50, p99 and p99.9 latencies in milliseconds as table cells.
    pub fn quantile_cells(&self) -> [String; 3] {
        [0.5, 0.99, 0.999].map(|q| format!("{:.2}", self.quantile_ms(q)))
    }
}
