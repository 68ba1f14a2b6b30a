//! The limits of the stand-in log and the faults that can be injected into it.

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// The rate and retention limits of the stand-in log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogLimits {
    /// The highest accepted rate of appends, per second.
    pub max_appends_per_s: u32,
    /// How long a record is retained.
    pub retention: Duration,
    /// The largest number of retained records.
    pub max_records: usize,
    /// The largest total size of the retained records, in bytes.
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

/// The faults injected into the stand-in log. They apply until they are replaced.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether every call but `PUT /faults` is refused with status 503.
    pub down: bool,
    /// The delay added to every call but `PUT /faults`, in milliseconds.
    pub slow_ms: u64,
    /// Every n-th append is stored, but its answer is withheld; 0 disables the fault.
    pub lose_answer_every: u64,
    /// Every n-th append is stored twice; 0 disables the fault.
    pub double_every: u64,
}

/// Limits the number of appends within each second of the clock.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    current_second: u64,
    append_count: u32,
}

impl RateLimit {
    /// Counts an append and returns whether it is within the limit of its second.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        max_per_s: u32,
    ) -> bool {
        let second = now.0 / 1000;
        if second != self.current_second {
            *self = Self {
                current_second: second,
                append_count: 0,
            };
        }
        self.append_count += 1;
        self.append_count <= max_per_s
    }
}
