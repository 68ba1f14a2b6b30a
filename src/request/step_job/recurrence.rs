//! Jobs that run several times.

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// When the occurrences of a job are due.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recurrence {
    /// How many occurrences there are.
    pub count: u32,
    /// When the first one is due, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// The time from one to the next, in milliseconds.
    pub interval_ms: u64,
}

impl Recurrence {
    /// Returns when an occurrence is due, in milliseconds since the Unix epoch.
    pub fn due(
        &self,
        occurrence: u32,
    ) -> Millis {
        Millis(self.first_ms + u64::from(occurrence) * self.interval_ms)
    }
}
