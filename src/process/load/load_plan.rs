//! What load to send, within limits.

use {
    crate::prelude::*,
    derive_more::{Display, Error},
};

/// What load to send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The entries, used in turn.
    pub entries: Vec<SocketAddr>,
    /// The request kinds, used in turn.
    pub kinds: Vec<KindName>,
    /// The bearer key of the account.
    pub key: String,
    /// The body of each request.
    pub body: Bytes,
    /// The requests a second, sent at even distances whether or not earlier ones are answered.
    pub rate_per_s: u32,
    /// How long requests are sent.
    pub duration: Duration,
    /// The most requests without an answer; those above it are counted and not sent.
    pub max_in_flight: u32,
}

/// Why a plan is refused.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum LoadPlanError {
    /// There is no entry or no kind.
    #[display("at least one entry and one request kind are needed")]
    Empty,
    /// An entry is not on this machine.
    #[display("{_0} is not a loopback address; load goes to this machine only")]
    NotLoopback(#[error(not(source))] SocketAddr),
    /// The rate is zero or above the limit.
    #[display(
        "the rate has to be from 1 to {} requests a second",
        LoadPlan::MAX_RATE_PER_S
    )]
    Rate,
    /// The span is zero or above the limit.
    #[display("the time has to be from 1 ms to {} s", LoadPlan::MAX_DURATION.as_secs())]
    Duration,
}

impl LoadPlan {
    /// The highest rate, in requests a second.
    pub const MAX_RATE_PER_S: u32 = 5_000;

    /// The longest time that requests are sent.
    pub const MAX_DURATION: Duration = Duration::from_secs(600);

    /// Checks that the plan stays within its limits.
    ///
    /// # Errors
    /// The first limit that is not kept.
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

    /// Returns the number of requests that the plan sends in all.
    pub fn request_count(&self) -> u64 {
        let millis = Millis::from(self.duration).0;
        u64::from(self.rate_per_s) * millis / 1_000
    }

    /// Returns when a request is due after the start.
    pub fn send_offset(
        &self,
        number: u64,
    ) -> Duration {
        Duration::from_micros(number * 1_000_000 / u64::from(self.rate_per_s))
    }
}
