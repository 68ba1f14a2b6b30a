//! The parameters of a load run and their limits.

use {
    crate::prelude::*,
    derive_more::{Display, Error},
};

/// The parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The addresses of the entries, used in round-robin order.
    pub entries: Vec<SocketAddr>,
    /// The request kinds, used in round-robin order.
    pub kinds: Vec<KindName>,
    /// The bearer key of the client account.
    pub key: String,
    /// The body of each request.
    pub body: Bytes,
    /// The number of requests a second. They are sent at equal intervals, without waiting for
    /// earlier answers.
    pub rate_per_s: u32,
    /// How long requests are sent.
    pub duration: Duration,
    /// The maximum number of requests without an answer; further requests are counted but not sent.
    pub max_in_flight: u32,
}

/// The reason why a plan is invalid.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum LoadPlanError {
    /// The plan has no entry or no request kind.
    #[display("at least one entry and one request kind are needed")]
    Empty,
    /// The address of an entry is not a loopback address.
    #[display("{_0} is not a loopback address; load goes to this machine only")]
    NotLoopback(#[error(not(source))] SocketAddr),
    /// The rate is zero or above [`LoadPlan::MAX_RATE_PER_S`].
    #[display(
        "the rate has to be from 1 to {} requests a second",
        LoadPlan::MAX_RATE_PER_S
    )]
    Rate,
    /// The duration is zero or above [`LoadPlan::MAX_DURATION`].
    #[display("the time has to be from 1 ms to {} s", LoadPlan::MAX_DURATION.as_secs())]
    Duration,
}

impl LoadPlan {
    /// The maximum rate, in requests a second.
    pub const MAX_RATE_PER_S: u32 = 5_000;

    /// The maximum time for which requests are sent.
    pub const MAX_DURATION: Duration = Duration::from_secs(600);

    /// Checks the plan against its limits.
    ///
    /// # Errors
    /// Returns the first limit that is violated.
    pub fn check(&self) -> Result<(), LoadPlanError> {
        if self.entries.is_empty() || self.kinds.is_empty() {
            return Err(LoadPlanError::Empty);
        }
        if let Some(remote) = self.entries.iter().find(|e| !e.ip().is_loopback()) {
            return Err(LoadPlanError::NotLoopback(*remote));
        }
        if !(1..=Self::MAX_RATE_PER_S).contains(&self.rate_per_s) {
            return Err(LoadPlanError::Rate);
        }
        if self.duration.is_zero() || self.duration > Self::MAX_DURATION {
            return Err(LoadPlanError::Duration);
        }
        Ok(())
    }

    /// Returns the total number of requests in the plan.
    pub fn request_count(&self) -> u64 {
        let millis = Millis::from(self.duration).0;
        u64::from(self.rate_per_s) * millis / 1_000
    }

    /// Returns the time from the start until request `number` is due, counted from 0.
    pub fn send_offset(
        &self,
        number: u64,
    ) -> Duration {
        Duration::from_micros(number * 1_000_000 / u64::from(self.rate_per_s))
    }
}
