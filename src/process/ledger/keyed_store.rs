//! The border to a store that keeps the newest record of each key.

use {
    crate::prelude::*,
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
};

/// One record of a key; without a value, the key is dropped.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyedRecord {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Option<Bytes>,
    /// The record's offset in its topic; 0 in records that are not stored yet.
    pub offset: u64,
}

/// Records with the offset from which to read on.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyedPage {
    /// The records, in the order of their offsets.
    pub records: Vec<KeyedRecord>,
    /// The offset from which to read on.
    pub end: u64,
}

/// Keeps writers of lower epochs out, and counts the appends of one writer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fence {
    /// The writer's fencing epoch.
    pub epoch: u64,
    /// The number of the append within the epoch, counted from 1.
    pub sequence: u64,
}

/// Under which condition records are appended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Condition {
    /// Always.
    Always,
    /// Only when the topic ends at this offset.
    EndsAt(u64),
    /// Only when no writer with a higher epoch has appended.
    Fenced(Fence),
}

/// Why a call to the store brought no result.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
pub enum StoreError {
    /// The store did nothing.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// The call may have had its effect or may still have it.
    #[display("no answer: {_0}")]
    Unknown(#[error(not(source))] String),
    /// A writer with a higher epoch has appended.
    #[display("fenced by a higher epoch")]
    Fenced,
    /// The append's number does not follow the last one.
    #[display("the sequence number {_0} was expected")]
    OutOfSequence(#[error(not(source))] u64),
    /// The condition does not hold.
    #[display("the topic ends elsewhere")]
    EndMoved,
    /// The records asked for are no longer kept.
    #[display("the records are no longer kept")]
    Trimmed,
    /// The answer cannot be read.
    #[display("malformed answer: {_0}")]
    Malformed(#[error(not(source))] String),
}

/// A store of topics with keyed records. Everything acknowledged is kept, and answers are
/// linearizable.
pub trait KeyedStore {
    /// Returns the newest record of each key and an offset to read on from.
    ///
    /// # Errors
    /// [`StoreError`] when the store gives no result in time.
    fn newest<'a>(
        &'a self,
        topic: &'a str,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>>;

    /// Returns the records from an offset on; waits for one when there is none.
    ///
    /// # Errors
    /// [`StoreError`] when the store gives no result in time.
    fn read<'a>(
        &'a self,
        topic: &'a str,
        from: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>>;

    /// Appends records, all or none, and returns the offset of the first one.
    ///
    /// # Errors
    /// [`StoreError`], which tells whether the records may be stored.
    fn append<'a>(
        &'a self,
        topic: &'a str,
        records: &'a [KeyedRecord],
        condition: Condition,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>>;
}
