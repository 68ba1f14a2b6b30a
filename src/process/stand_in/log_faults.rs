//! The limits of the stand-in log, and the faults that tests switch on.

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// The limits of the stand-in log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogLimits {
    /// The most appends a second.
    pub max_appends_per_s: u32,
    /// How long a record is kept.
    pub retention: Duration,
    /// The most records that are kept.
    pub max_records: usize,
    /// The most bytes that are kept.
    pub max_bytes: usize,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            max_appends_per_s: 500,
            retention: Duration::from_secs(24 * 3600),
            max_records: 1_000_000,
            max_bytes: 256 << 20,
        }
    }
}

/// The faults of the stand-in log. They hold until they are switched off.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Refuse every call.
    pub down: bool,
    /// How much longer every call takes, in milliseconds.
    pub slow_ms: u64,
    /// Do what every n-th append asks, and lose the answer; 0 for none.
    pub lose_answer_every: u64,
    /// Append every n-th append twice; 0 for none.
    pub double_every: u64,
}

/// Counts appends within one second.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    second: u64,
    appends: u32,
}

impl RateLimit {
    /// Counts an append; `false` when the limit of this second is reached.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        max_per_s: u32,
    ) -> bool {
        let second = now.0 / 1000;
        if second != self.second {
            *self = Self { second, appends: 0 };
        }
        self.appends += 1;
        self.appends <= max_per_s
    }
}
