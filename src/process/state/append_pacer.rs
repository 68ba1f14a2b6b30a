//! Rate limit and retry delays of appends to the platform's log.

use crate::prelude::*;

/// Largest number of appends sent without a delay after an idle period.
const MAX_BURST_APPENDS: u64 = 10;

/// Average interval between appends: 10 appends/s per entry keep even 16 entries well below several
/// hundred appends/s in total.
const APPEND_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after the first failed call.
const BACKOFF_BASE: Duration = Duration::from_millis(200);

/// Upper bound of the retry delay before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Rate limiter for the appends of one process: a bounded burst, then a steady rate.
#[derive(Debug, Default)]
pub(super) struct AppendPacer {
    /// Time at which the next append would be due at the steady rate.
    theoretical_arrival: Millis,
}

impl AppendPacer {
    /// Counts an append and returns how long it must be delayed.
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

/// Returns the retry delay after consecutive failures.
///
/// The delay doubles up to a bound. Jitter of up to half the delay, derived from a hash of the
/// process's epoch, keeps processes from retrying at the same time.
pub(super) fn backoff_delay(
    epoch: u64,
    failures: u32,
) -> Duration {
    let doubled = BACKOFF_BASE * (1 << failures.saturating_sub(1).min(8));
    let base = doubled.min(MAX_BACKOFF);
    let hash = blake3::hash(&(epoch ^ u64::from(failures).rotate_left(32)).to_le_bytes());
    base + base * u32::from(hash.as_bytes()[0]) / 512
}
