//! The platform's append-only log.

use {
    bytes::Bytes,
    derive_more::{Display, Error},
    futures_util::future::LocalBoxFuture,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The place of a record on the log, counted from 0.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Offset(pub u64);

/// One record with its place.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// The record's place.
    pub offset: Offset,
    /// When the log took the record, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// The record's content.
    pub data: Bytes,
}

/// What one read returned.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The records, in order, from the asked offset or from `first` when that is later.
    pub records: Vec<LogRecord>,
    /// The oldest offset that the log still keeps.
    pub first: Offset,
    /// The offset that the next record will get.
    pub end: Offset,
}

/// Why the log gave no answer.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum LogError {
    /// The log refused the call or was not reached, so the call had no effect.
    #[display("the log is unavailable")]
    Unavailable,
    /// The answer was lost, so an append may or may not have taken effect.
    #[display("the log's answer was lost")]
    AnswerLost,
    /// The log refused the call because of its rate limit; it had no effect.
    #[display("the log's rate limit is reached")]
    RateLimited,
}

/// A client of the platform's log.
pub trait PlatformLog {
    /// Appends records next to each other and returns the offset of the first.
    ///
    /// # Errors
    /// [`LogError::AnswerLost`] when the records may stand on the log all the same.
    fn append(
        &self,
        records: Vec<Bytes>,
    ) -> LocalBoxFuture<'_, Result<Offset, LogError>>;

    /// Reads records from an offset on, and waits up to `wait` for one when there is none.
    ///
    /// # Errors
    /// [`LogError::Unavailable`] when the log gave no answer.
    fn read(
        &self,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, LogError>>;
}
