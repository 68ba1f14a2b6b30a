//! The interface of the platform's append-only log.

use {
    bytes::Bytes,
    derive_more::{Display, Error},
    futures_util::future::LocalBoxFuture,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The position of a record in the log, counted from 0.
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

/// A record of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// The record's offset.
    pub offset: Offset,
    /// When the log appended the record, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// The record's content.
    pub data: Bytes,
}

/// The result of one read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The records in the order of their offsets, from the requested offset or from `first` if that
    /// is higher.
    pub records: Vec<LogRecord>,
    /// The lowest offset that the log retains.
    pub first: Offset,
    /// The offset that the next record will get.
    pub end: Offset,
}

/// Why a call to the log failed.
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
    /// Appends records with consecutive offsets and returns the offset of the first one.
    ///
    /// # Errors
    /// Returns [`LogError::AnswerLost`] if the records may have been appended, and another
    /// [`LogError`] if they have not.
    fn append(
        &self,
        records: Vec<Bytes>,
    ) -> LocalBoxFuture<'_, Result<Offset, LogError>>;

    /// Reads the records from an offset on. If there are none yet, waits up to `wait` for one.
    ///
    /// # Errors
    /// Returns [`LogError::Unavailable`] if the log does not answer.
    fn read(
        &self,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, LogError>>;
}
