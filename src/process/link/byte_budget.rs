//! A bound on the bytes of a time.

use {crate::prelude::*, std::cell::Cell};

/// A token bucket (as in RFC 2697, with one rate) that is filled by the time.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_second: u64,
    burst: u64,
    left: Cell<u64>,
    filled: Cell<Millis>,
}

impl ByteBudget {
    /// Creates a full budget; `burst` is the most bytes that are spent at once.
    pub fn new(
        bytes_per_second: u64,
        burst: u64,
    ) -> Self {
        Self {
            bytes_per_second,
            burst,
            left: Cell::new(burst),
            filled: Cell::default(),
        }
    }

    /// Spends bytes; `false` when fewer are left, and then spends none.
    pub fn try_spend(
        &self,
        now: Millis,
        bytes: usize,
    ) -> bool {
        self.fill(now);
        let rest = self.left.get().checked_sub(bytes as u64);
        if let Some(rest) = rest {
            self.left.set(rest);
        }
        rest.is_some()
    }

    /// Spends bytes that cannot be held back; later spending pays for them.
    pub fn spend(
        &self,
        now: Millis,
        bytes: usize,
    ) {
        self.fill(now);
        self.left.set(self.left.get().saturating_sub(bytes as u64));
    }

    fn fill(
        &self,
        now: Millis,
    ) {
        let elapsed = now.0.saturating_sub(self.filled.get().0);
        let fresh = elapsed * self.bytes_per_second / 1000;
        if fresh == 0 {
            return;
        }
        self.filled.set(now);
        self.left.set((self.left.get() + fresh).min(self.burst));
    }
}
