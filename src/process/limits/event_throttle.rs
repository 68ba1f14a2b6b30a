//! Limits the rate of log lines about frequent events.

use crate::prelude::*;

/// The minimum time between two log lines about events of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts events of one kind and decides when to log them.
#[derive(Clone, Debug, Default)]
pub struct EventThrottle {
    last_logged_at: Option<Millis>,
    unlogged: u64,
}

impl EventThrottle {
    /// Counts an event. If a line is due, returns the number of events since the last line.
    pub fn record(
        &mut self,
        now: Millis,
    ) -> Option<u64> {
        self.unlogged += 1;
        let is_due = self
            .last_logged_at
            .is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        is_due.then(|| {
            self.last_logged_at = Some(now);
            std::mem::take(&mut self.unlogged)
        })
    }
}
