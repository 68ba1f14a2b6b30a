//! Rate limits and retry budgets.

use crate::prelude::*;

/// A bucket of tokens that fills with time, up to a limit.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    capacity: f64,
    last_refill: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn full(
        limit: f64,
        now: Millis,
    ) -> Self {
        Self {
            tokens: limit,
            capacity: limit,
            last_refill: now,
        }
    }

    /// Adds the tokens that `per_s` brought since the last filling; a changed limit takes effect.
    pub fn refill(
        &mut self,
        now: Millis,
        per_s: f64,
        limit: f64,
    ) {
        let gained = now.since(self.last_refill).as_secs_f64() * per_s;
        self.last_refill = now;
        self.capacity = limit;
        self.add(gained);
    }

    /// Adds tokens up to the limit.
    pub fn add(
        &mut self,
        tokens: f64,
    ) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes a token when there is one.
    pub fn try_acquire(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns how long it takes until there is a token again.
    pub fn time_to_token(
        &self,
        per_s: f64,
    ) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / per_s.max(0.001))
    }
}
