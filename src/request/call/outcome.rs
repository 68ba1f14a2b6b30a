//! How a request ended.

use {crate::prelude::*, derive_more::Display};

/// The outcomes of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered.
    Answered {
        /// The HTTP status of the upstream.
        status: u16,
        /// The whole body.
        body: Bytes,
    },
    /// The request was not run, for sure.
    NotRun(NotRun),
    /// The request may have run, but no answer came.
    Unknown,
    /// The request was not run because of an earlier one with the same idempotency key.
    Conflict(KeyConflict),
}

/// What stands against a request whose idempotency key was used before.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum KeyConflict {
    /// The earlier request had another kind or body.
    #[display("the idempotency key was used with another body")]
    DifferentContent,
    /// The earlier request has not ended.
    #[display("the request with this idempotency key is in progress")]
    InProgress,
    /// The earlier request was answered, but its answer was too large to be kept.
    #[display(
        "the request with this idempotency key was answered with status {status}; the answer is not kept"
    )]
    AnswerNotStored {
        /// The HTTP status of the answer.
        status: u16,
    },
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NotRun {
    /// The account has as many waiting requests as it may.
    #[display("the account's queue is full")]
    QueueFull {
        /// When a place is expected.
        retry_after: Duration,
    },
    /// The account or the kind has sent as much of late as it may.
    #[display("the rate limit is reached")]
    RateLimit {
        /// When the next request is allowed.
        retry_after: Duration,
    },
    /// The expected wait is longer than the caller or the account allows.
    #[display("the deadline cannot be met")]
    Deadline {
        /// By how much the expected wait is too long.
        retry_after: Duration,
    },
    /// No upstream took the request in time.
    #[display("no upstream could take the request in time")]
    NoUpstream,
    /// Upstreams could not be reached, and the account's retry budget is used up.
    #[display("no upstream was reached within the account's retry budget")]
    RetryBudget,
    /// The same request has failed on several upstreams of late.
    #[display("the same request has failed on several upstreams")]
    FailsEverywhere,
    /// The idempotency key could not be recorded.
    #[display("the log did not record the idempotency key in time")]
    LogUnavailable,
    /// The entry is shutting down.
    #[display("the entry is shutting down")]
    Draining,
}

impl NotRun {
    /// Tells whether the account itself has to send less.
    pub fn is_over_limit(&self) -> bool {
        matches!(self, Self::QueueFull { .. } | Self::RateLimit { .. })
    }

    /// Returns the reason as a short word for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::QueueFull { .. } => "queue_full",
            Self::RateLimit { .. } => "rate_limit",
            Self::Deadline { .. } => "deadline",
            Self::NoUpstream => "no_upstream",
            Self::RetryBudget => "retry_budget",
            Self::FailsEverywhere => "fails_everywhere",
            Self::LogUnavailable => "log",
            Self::Draining => "draining",
        }
    }

    /// Returns how long the caller should wait before another try.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::QueueFull { retry_after }
            | Self::RateLimit { retry_after }
            | Self::Deadline { retry_after } => (*retry_after).max(Duration::from_secs(1)),
            Self::FailsEverywhere => Duration::from_secs(60),
            Self::LogUnavailable => Duration::from_secs(5),
            Self::NoUpstream | Self::RetryBudget | Self::Draining => Duration::from_secs(1),
        }
    }
}
