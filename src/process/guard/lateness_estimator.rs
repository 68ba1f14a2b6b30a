//! Estimates how late frames arrive, without synchronized clocks.

use {crate::prelude::*, std::collections::BTreeMap};

/// The length of the window over which a sender's minimum delay is computed.
const MIN_DELAY_WINDOW: Duration = Duration::from_secs(60);

/// The number of tracked senders from which outdated ones are removed before a new one is added.
const SENDER_PRUNE_THRESHOLD: usize = 256;

/// The maximum number of tracked senders; the one with the oldest window makes room for a new one.
const MAX_SENDERS: usize = 4096;

/// The minimum difference between arrival and send time in the current and the previous window, in
/// milliseconds; negative when the sender's clock is ahead.
#[derive(Clone, Copy, Debug)]
struct MinDelay {
    current_ms: i64,
    previous_ms: i64,
    window_start: Millis,
}

/// Estimates how much longer a frame was delayed than the fastest recent frame of the same sender.
/// The clocks of sender and receiver may differ, because only differences of delays count (the
/// clock filter of NTP, RFC 5905, keeps the minimum delay in the same way).
#[derive(Debug, Default)]
pub struct LatenessEstimator {
    senders: BTreeMap<u64, MinDelay>,
}

impl LatenessEstimator {
    /// Returns the number of tracked senders.
    pub fn sender_count(&self) -> usize {
        self.senders.len()
    }

    /// Returns the lateness of a frame that `sender` sent at `sent`, by the sender's wall clock,
    /// and that arrived at `arrived`, by this process's wall clock.
    pub fn frame_lateness(
        &mut self,
        now: Millis,
        sender: u64,
        sent: Millis,
        arrived: Millis,
    ) -> Duration {
        let delay_ms = arrived.0 as i64 - sent.0 as i64;
        if self.senders.len() >= SENDER_PRUNE_THRESHOLD && !self.senders.contains_key(&sender) {
            self.senders
                .retain(|_, d| now.since(d.window_start) < MIN_DELAY_WINDOW);
            if self.senders.len() >= MAX_SENDERS {
                let oldest = self.senders.iter().min_by_key(|(_, d)| d.window_start);
                if let Some(oldest) = oldest.map(|(id, _)| *id) {
                    self.senders.remove(&oldest);
                }
            }
        }
        let min_delay = self.senders.entry(sender).or_insert(MinDelay {
            current_ms: delay_ms,
            previous_ms: delay_ms,
            window_start: now,
        });
        if now.since(min_delay.window_start) >= MIN_DELAY_WINDOW {
            min_delay.previous_ms = min_delay.current_ms;
            min_delay.current_ms = delay_ms;
            min_delay.window_start = now;
        }
        min_delay.current_ms = min_delay.current_ms.min(delay_ms);
        let late_ms = delay_ms - min_delay.current_ms.min(min_delay.previous_ms);
        Duration::from_millis(late_ms.max(0) as u64)
    }
}
