//! The results of a load run.

use {
    crate::{prelude::*, process::bench::Table},
    hdrhistogram::Histogram,
    std::collections::BTreeMap,
};

/// The longest latency that a report distinguishes, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The number of significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The outcomes of the requests of one kind.
#[derive(Clone, Debug)]
pub struct OutcomeCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with a 2xx status.
    pub answered: u64,
    /// Requests that certainly did not run: status 429 or 503.
    pub not_run: u64,
    /// Requests that may have run: status 504.
    pub unknown: u64,
    /// Requests refused with any other status, for example because of an invalid key.
    pub refused: u64,
    /// Requests that the entry did not answer.
    pub failed: u64,
    /// Requests not sent because too many were in flight.
    pub skipped: u64,
    latencies: Histogram<u64>,
}

/// The results of a load run by request kind.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    kinds: BTreeMap<KindName, OutcomeCounts>,
}

impl Default for OutcomeCounts {
    fn default() -> Self {
        let latencies = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self {
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            refused: 0,
            failed: 0,
            skipped: 0,
            latencies: latencies.expect("the histogram's bounds are valid"),
        }
    }
}

impl LoadReport {
    /// Returns the counts of a kind, creating them at zero on first use.
    pub fn kind_counts(
        &mut self,
        kind: &KindName,
    ) -> &mut OutcomeCounts {
        self.kinds.entry(kind.clone()).or_default()
    }

    /// Records the outcome and latency of a request that was sent; `status` is the HTTP status, or
    /// `None` if the entry did not answer.
    pub fn record_outcome(
        &mut self,
        kind: &KindName,
        status: Option<u16>,
        latency: Duration,
    ) {
        let counts = self.kind_counts(kind);
        match status {
            Some(200..=299) => counts.answered += 1,
            Some(429 | 503) => counts.not_run += 1,
            Some(504) => counts.unknown += 1,
            Some(_) => counts.refused += 1,
            None => counts.failed += 1,
        }
        counts
            .latencies
            .saturating_record(latency.as_micros() as u64);
    }

    /// Returns the report as a table with one row a kind and latencies in milliseconds.
    pub fn table(&self) -> Table {
        let columns = [
            "kind",
            "sent",
            "answered",
            "not run",
            "unknown",
            "refused",
            "failed",
            "held back",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "max ms",
        ];
        let mut table = Table::new("load", &columns);
        for (kind, counts) in &self.kinds {
            table.push_row(counts.cells(kind));
        }
        table
    }
}

impl OutcomeCounts {
    fn cells(
        &self,
        kind: &KindName,
    ) -> Vec<String> {
        let counts = [
            self.sent,
            self.answered,
            self.not_run,
            self.unknown,
            self.refused,
            self.failed,
            self.skipped,
        ];
        let latencies = [
            self.latencies.value_at_quantile(0.5),
            self.latencies.value_at_quantile(0.99),
            self.latencies.value_at_quantile(0.999),
            self.latencies.max(),
        ];
        let mut cells = vec![kind.to_string()];
        cells.extend(counts.iter().map(u64::to_string));
        cells.extend(latencies.iter().map(|t| format!("{:.2}", *t as f64 / 1e3)));
        cells
    }
}
