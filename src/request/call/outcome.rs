//! How a request ended.

use {crate::prelude::*, derive_more::Display};

/// The three outcomes of a request.
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
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NotRun {
    /// The account has as many requests in progress as it may.
    #[display("the account's in-flight limit is reached")]
    AccountLimit,
    /// No upstream took the request in time.
    #[display("no upstream could take the request in time")]
    NoUpstream,
    /// The entry is shutting down.
    #[display("the entry is shutting down")]
    Draining,
}
