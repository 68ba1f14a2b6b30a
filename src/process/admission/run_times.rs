//! How long requests of each kind take.

use {crate::prelude::*, std::collections::BTreeMap};

/// The weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The time that is assumed of a kind before any request of it was answered, in milliseconds.
const DEFAULT_RUN_MS: f64 = 5.0;

/// The exponentially weighted mean run time of each kind, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    means: BTreeMap<KindName, f64>,
}

impl RunTimes {
    /// Takes an answered request into account.
    pub fn record(
        &mut self,
        kind: &KindName,
        took_ms: f64,
    ) {
        let mean = self.means.entry(kind.clone()).or_insert(took_ms);
        *mean += SAMPLE_WEIGHT * (took_ms - *mean);
    }

    /// Returns the mean of a kind; `None` before its first answer.
    pub fn mean_ms(
        &self,
        kind: &KindName,
    ) -> Option<f64> {
        self.means.get(kind).copied()
    }

    /// Returns the mean of a kind, or a guess before its first answer.
    pub fn expected_ms(
        &self,
        kind: &KindName,
    ) -> f64 {
        self.mean_ms(kind).unwrap_or(DEFAULT_RUN_MS)
    }
}
