//! How late frames are, without a common clock.

use {crate::prelude::*, std::collections::BTreeMap};

/// How long the least delay of a sender is kept before a newer one takes its place.
const WINDOW: Duration = Duration::from_secs(60);

/// The most senders that are kept.
const MAX_SENDERS: usize = 256;

/// The least difference between arrival and sending in the present and the former window.
#[derive(Clone, Copy, Debug)]
struct LeastDelay {
    present: i64,
    former: i64,
    since: Millis,
}

/// Tells how much later than the fastest frame of the same sender a frame is. The clocks of sender
/// and receiver may differ, as only differences of delays count (the clock filter of NTP, RFC
/// 5905, keeps the least delay in the same way).
#[derive(Debug, Default)]
pub struct Lateness {
    senders: BTreeMap<u64, LeastDelay>,
}

impl Lateness {
    /// Returns the lateness of a frame that `sender` sent at `sent`, by its clock, and that came
    /// at `arrived`, by this process's time of day.
    pub fn of_frame(
        &mut self,
        now: Millis,
        sender: u64,
        sent: Millis,
        arrived: Millis,
    ) -> Duration {
        let delay = arrived.0 as i64 - sent.0 as i64;
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender) {
            self.senders.retain(|_, l| now.since(l.since) < WINDOW);
        }
        let least = self.senders.entry(sender).or_insert(LeastDelay {
            present: delay,
            former: delay,
            since: now,
        });
        if now.since(least.since) >= WINDOW {
            least.former = least.present;
            least.present = delay;
            least.since = now;
        }
        least.present = least.present.min(delay);
        let late = delay - least.present.min(least.former);
        Duration::from_millis(late.max(0) as u64)
    }
}
