//! Token buckets for rate limits and retry budgets.

use crate::prelude::*;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    capacity: f64,
    last_refill: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn full(
        capacity: f64,
        now: Millis,
    ) -> Self {
        Self {
            tokens: capacity,
            capacity,
            last_refill: now,
        }
    }

    /// Sets the capacity and adds the tokens gained since the last refill, at `per_s` per second.
    pub fn refill(
        &mut self,
        now: Millis,
        per_s: f64,
        capacity: f64,
    ) {
        let gained = now.since(self.last_refill).as_secs_f64() * per_s;
        self.last_refill = now;
        self.capacity = capacity;
        self.add(gained);
    }

    /// Adds tokens up to the capacity.
    pub fn add(
        &mut self,
        tokens: f64,
    ) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Removes a token; returns `false` if there is none.
    pub fn try_acquire(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the time until a token is available, at `per_s` tokens per second.
    pub fn time_to_token(
        &self,
        per_s: f64,
    ) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / per_s.max(0.001))
    }
}
