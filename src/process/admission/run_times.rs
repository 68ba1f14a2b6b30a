//! Estimates the run time of each kind of request.

use {crate::prelude::*, std::collections::BTreeMap};

/// Weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Run time assumed for a kind before its first answer, in milliseconds.
const DEFAULT_RUN_MS: f64 = 5.0;

/// Exponentially weighted mean run time of each kind, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    means: BTreeMap<KindName, f64>,
}

impl RunTimes {
    /// Records the run time of an answered request.
    pub fn record(
        &mut self,
        kind: &KindName,
        run_ms: f64,
    ) {
        let mean = self.means.entry(kind.clone()).or_insert(run_ms);
        *mean += SAMPLE_WEIGHT * (run_ms - *mean);
    }

    /// Returns the mean run time of a kind; `None` before its first answer.
    pub fn mean_ms(
        &self,
        kind: &KindName,
    ) -> Option<f64> {
        self.means.get(kind).copied()
    }

    /// Returns the mean run time of a kind, or a default before its first answer.
    pub fn expected_ms(
        &self,
        kind: &KindName,
    ) -> f64 {
        self.mean_ms(kind).unwrap_or(DEFAULT_RUN_MS)
    }
}
