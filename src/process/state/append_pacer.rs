//! The pace of appends.

use crate::prelude::*;

/// The appends that may follow each other at once after a quiet time.
const MAX_BURST_APPENDS: u64 = 10;

/// The pause that one append costs in the long run: ten a second for each entry, so that even
/// sixteen entries stay far below several hundred.
const APPEND_INTERVAL: Duration = Duration::from_millis(100);

/// The first pause after a failed call.
const BACKOFF_BASE: Duration = Duration::from_millis(200);

/// The longest pause after failed calls, without jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Spaces the appends of one process: a bounded burst, then a steady rate.
#[derive(Debug, Default)]
pub(super) struct AppendPacer {
    theoretical_arrival: Millis,
}

impl AppendPacer {
    /// Counts an append and returns how long it has to wait.
    pub(super) fn next_delay(
        &mut self,
        now: Millis,
    ) -> Duration {
        let spacing = Millis::from(APPEND_INTERVAL).0;
        self.theoretical_arrival = Millis(self.theoretical_arrival.0.max(now.0) + spacing);
        let ahead = self.theoretical_arrival.0 - now.0;
        Duration::from_millis(ahead.saturating_sub(MAX_BURST_APPENDS * spacing))
    }
}

/// Returns the pause after a number of failures in a row: it doubles up to a bound, and up to a
/// half is added by a hash, so that processes do not return at the same time.
pub(super) fn backoff_delay(
    epoch: u64,
    failures: u32,
) -> Duration {
    let doubled = BACKOFF_BASE * (1 << failures.saturating_sub(1).min(8));
    let base = doubled.min(MAX_BACKOFF);
    let hash = blake3::hash(&(epoch ^ u64::from(failures).rotate_left(32)).to_le_bytes());
    base + base * u32::from(hash.as_bytes()[0]) / 512
}
