//! The recurrence of jobs.

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// Schedule of the occurrences of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recurrence {
    /// Number of occurrences.
    pub count: u32,
    /// Start time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Interval between occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Recurrence {
    /// Returns the start time of an occurrence, in milliseconds since the Unix epoch.
    pub fn due(
        &self,
        occurrence: u32,
    ) -> Millis {
        Millis(self.first_ms + u64::from(occurrence) * self.interval_ms)
    }
}
