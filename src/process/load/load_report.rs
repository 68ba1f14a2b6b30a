//! What came of a load.

use {
    crate::{prelude::*, process::bench::Table},
    hdrhistogram::Histogram,
    std::collections::BTreeMap,
};

/// The longest time that a report can show, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// The significant digits of times.
const DIGITS: u8 = 3;

/// How the requests of one kind ended.
#[derive(Clone, Debug)]
pub struct OutcomeCount {
    /// Sent.
    pub sent: u64,
    /// Answered by an upstream.
    pub answered: u64,
    /// Not run, for sure.
    pub not_run: u64,
    /// Perhaps run, without an answer.
    pub unknown: u64,
    /// Refused as wrong, for example for a bad key.
    pub refused: u64,
    /// Without any answer of the entry.
    pub failed: u64,
    /// Not sent, because too many requests had no answer.
    pub held_back: u64,
    times: Histogram<u64>,
}

/// What came of a load, by kind.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    kinds: BTreeMap<KindName, OutcomeCount>,
}

impl Default for OutcomeCount {
    fn default() -> Self {
        let times = Histogram::new_with_max(MAX_MICROS, DIGITS);
        Self {
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            refused: 0,
            failed: 0,
            held_back: 0,
            times: times.expect("the limits are valid"),
        }
    }
}

impl LoadReport {
    /// Returns the counts of a kind, which start at zero.
    pub fn of(
        &mut self,
        kind: &KindName,
    ) -> &mut OutcomeCount {
        self.kinds.entry(kind.clone()).or_default()
    }

    /// Counts an answered request; `status` is the HTTP status, `None` when there was no answer.
    pub fn count(
        &mut self,
        kind: &KindName,
        status: Option<u16>,
        took: Duration,
    ) {
        let counts = self.of(kind);
        match status {
            Some(200..=299) => counts.answered += 1,
            Some(429 | 503) => counts.not_run += 1,
            Some(504) => counts.unknown += 1,
            Some(_) => counts.refused += 1,
            None => counts.failed += 1,
        }
        counts.times.saturating_record(took.as_micros() as u64);
    }

    /// Returns the report as a table; times in milliseconds.
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

impl OutcomeCount {
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
            self.held_back,
        ];
        let times = [
            self.times.value_at_quantile(0.5),
            self.times.value_at_quantile(0.99),
            self.times.value_at_quantile(0.999),
            self.times.max(),
        ];
        let mut cells = vec![kind.to_string()];
        cells.extend(counts.iter().map(u64::to_string));
        cells.extend(times.iter().map(|t| format!("{:.2}", *t as f64 / 1e3)));
        cells
    }
}
