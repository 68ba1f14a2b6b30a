//! A byte rate limit.

use {crate::prelude::*, std::cell::Cell};

/// A token bucket (as in RFC 2697, with one rate), refilled from the elapsed time.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_second: u64,
    burst_bytes: u64,
    available_bytes: Cell<u64>,
    last_refill: Cell<Millis>,
}

impl ByteBudget {
    /// Creates a full budget; `burst_bytes` is the maximum that can be spent at once.
    pub fn new(
        bytes_per_second: u64,
        burst_bytes: u64,
    ) -> Self {
        Self {
            bytes_per_second,
            burst_bytes,
            available_bytes: Cell::new(burst_bytes),
            last_refill: Cell::default(),
        }
    }

    /// Spends bytes and returns `true`; if fewer are available, spends none and returns `false`.
    pub fn try_spend(
        &self,
        now: Millis,
        bytes: usize,
    ) -> bool {
        self.refill(now);
        let remaining = self.available_bytes.get().checked_sub(bytes as u64);
        if let Some(remaining) = remaining {
            self.available_bytes.set(remaining);
        }
        remaining.is_some()
    }

    /// Spends bytes that cannot be delayed, so that less is available to [`Self::try_spend`]. The
    /// balance does not go below zero.
    pub fn spend(
        &self,
        now: Millis,
        bytes: usize,
    ) {
        self.refill(now);
        self.available_bytes
            .set(self.available_bytes.get().saturating_sub(bytes as u64));
    }

    fn refill(
        &self,
        now: Millis,
    ) {
        let elapsed = now.0.saturating_sub(self.last_refill.get().0);
        let added = elapsed * self.bytes_per_second / 1000;
        if added == 0 {
            return;
        }
        self.last_refill.set(now);
        self.available_bytes
            .set((self.available_bytes.get() + added).min(self.burst_bytes));
    }
}
