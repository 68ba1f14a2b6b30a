//! How late frames are, without a common clock.

use {crate::prelude::*, std::collections::BTreeMap};

/// How long the least delay of a sender is kept before a newer one takes its place.
const MIN_DELAY_WINDOW: Duration = Duration::from_secs(60);

/// The most senders that are kept.
const MAX_TRACKED_SENDERS: usize = 256;

/// The least difference between arrival and sending in the present and the former window.
#[derive(Clone, Copy, Debug)]
struct MinDelay {
    current_ms: i64,
    previous_ms: i64,
    window_start: Millis,
}

/// Tells how much later than the fastest frame of the same sender a frame is. The clocks of sender
/// and receiver may differ, as only differences of delays count (the clock filter of NTP, RFC
/// 5905, keeps the least delay in the same way).
#[derive(Debug, Default)]
pub struct LatenessEstimator {
    senders: BTreeMap<u64, MinDelay>,
}

impl LatenessEstimator {
    /// Returns the lateness of a frame that `sender` sent at `sent`, by its clock, and that came
    /// at `arrived`, by this process's time of day.
    pub fn frame_lateness(
        &mut self,
        now: Millis,
        sender: u64,
        sent: Millis,
        arrived: Millis,
    ) -> Duration {
        let delay = arrived.0 as i64 - sent.0 as i64;
        if self.senders.len() >= MAX_TRACKED_SENDERS && !self.senders.contains_key(&sender) {
            self.senders
                .retain(|_, l| now.since(l.window_start) < MIN_DELAY_WINDOW);
        }
        let least = self.senders.entry(sender).or_insert(MinDelay {
            current_ms: delay,
            previous_ms: delay,
            window_start: now,
        });
        if now.since(least.window_start) >= MIN_DELAY_WINDOW {
            least.previous_ms = least.current_ms;
            least.current_ms = delay;
            least.window_start = now;
        }
        least.current_ms = least.current_ms.min(delay);
        let late = delay - least.current_ms.min(least.previous_ms);
        Duration::from_millis(late.max(0) as u64)
    }
}
