//! The outcome of a request.

use {crate::prelude::*, derive_more::Display};

/// Outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered.
    Answered {
        /// HTTP status of the upstream's answer.
        status: u16,
        /// Body of the upstream's answer.
        body: Bytes,
    },
    /// The request was certainly not run.
    NotRun(NotRun),
    /// The request may have run, but no answer was received.
    Unknown,
    /// The request was not run because of an earlier one with the same idempotency key.
    Conflict(KeyConflict),
}

/// Why a request with a used idempotency key is not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum KeyConflict {
    /// The earlier request had another kind or body.
    #[display("the idempotency key was used with another body")]
    DifferentContent,
    /// The earlier request has not ended.
    #[display("the request with this idempotency key is in progress")]
    InProgress,
    /// The earlier request was answered, but its answer was too large to be stored.
    #[display(
        "the request with this idempotency key was answered with status {status}; the answer is not kept"
    )]
    AnswerNotStored {
        /// HTTP status of the answer.
        status: u16,
    },
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NotRun {
    /// The account has reached its limit of queued requests.
    #[display("the account's queue is full")]
    QueueFull {
        /// Expected wait for the queued requests, after which the queue accepts more.
        retry_after: Duration,
    },
    /// The account or the kind has reached its rate limit.
    #[display("the rate limit is reached")]
    RateLimit {
        /// Time until the next request is allowed.
        retry_after: Duration,
    },
    /// The expected wait is longer than the caller or the account allows.
    #[display("the deadline cannot be met")]
    Deadline {
        /// Time by which the expected wait is too long.
        retry_after: Duration,
    },
    /// No upstream could take the request in time.
    #[display("no upstream could take the request in time")]
    NoUpstream,
    /// Upstreams could not be reached, and either the account's retry budget is spent or the
    /// request has been tried as often as allowed.
    #[display("no upstream was reached within the account's retry budget")]
    RetryBudget,
    /// The same request has recently failed on several upstreams.
    #[display("the same request has failed on several upstreams")]
    FailsEverywhere,
    /// The idempotency key could not be recorded on the log.
    #[display("the log did not record the idempotency key in time")]
    LogUnavailable,
    /// The entry is shutting down.
    #[display("the entry is shutting down")]
    Draining,
}

impl NotRun {
    /// Returns whether a queue or rate limit was exceeded, so that callers have to send less.
    pub fn is_over_limit(&self) -> bool {
        matches!(self, Self::QueueFull { .. } | Self::RateLimit { .. })
    }

    /// Returns the label of the reason in metrics.
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

    /// Returns how long the caller should wait before it sends the request again.
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
