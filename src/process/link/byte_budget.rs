//! A bound on the bytes of a time.

use {crate::prelude::*, std::cell::Cell};

/// A token bucket (as in RFC 2697, with one rate) that is filled by the time.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_second: u64,
    burst_bytes: u64,
    available_bytes: Cell<u64>,
    last_refill: Cell<Millis>,
}

impl ByteBudget {
    /// Creates a full budget; `burst` is the most bytes that are spent at once.
    pub fn new(
        bytes_per_second: u64,
        burst: u64,
    ) -> Self {
        Self {
            bytes_per_second,
            burst_bytes: burst,
            available_bytes: Cell::new(burst),
            last_refill: Cell::default(),
        }
    }

    /// Spends bytes; `false` when fewer are left, and then spends none.
    pub fn try_spend(
        &self,
        now: Millis,
        bytes: usize,
    ) -> bool {
        self.refill(now);
        let rest = self.available_bytes.get().checked_sub(bytes as u64);
        if let Some(rest) = rest {
            self.available_bytes.set(rest);
        }
        rest.is_some()
    }

    /// Spends bytes that cannot be held back; later spending pays for them.
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
        let fresh = elapsed * self.bytes_per_second / 1000;
        if fresh == 0 {
            return;
        }
        self.last_refill.set(now);
        self.available_bytes
            .set((self.available_bytes.get() + fresh).min(self.burst_bytes));
    }
}
