//! The interface of a store that keeps the newest record of each key.

use {
    super::NewestList,
    crate::{
        connection::{Transfer, false_if_missing},
        prelude::*,
    },
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
};

/// A record of a key. Without a value it is a tombstone, which removes the key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyedRecord {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Option<Bytes>,
    /// The record's offset in its topic; 0 if the record is not stored yet.
    pub offset: u64,
}

/// Records, with the offset at which to continue reading.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyedPage {
    /// The records, in the order of their offsets.
    pub records: Vec<KeyedRecord>,
    /// The offset at which to continue reading.
    pub end: u64,
    /// Whether the list goes on after the last record of this page, or the topic held more records
    /// when it was read. Entries of earlier versions do not send this field.
    #[serde(deserialize_with = "false_if_missing")]
    pub has_more: bool,
}

/// The records that a read asks for.
#[derive(Clone, Copy, Debug)]
pub struct ReadRange<'a> {
    /// The topic.
    pub topic: &'a str,
    /// The offset of the first record.
    pub from: u64,
    /// How long the store waits for a record if there is none.
    pub wait: Duration,
    /// The size limit of the page, in bytes; `None` for as much as the store returns at once. The page
    /// may hold one larger record, or none.
    pub max_bytes: Option<u64>,
}

/// The epoch and sequence number of an append, by which the store rejects writers with lower epochs
/// and detects lost or repeated appends of one writer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fence {
    /// The writer's fencing epoch.
    pub epoch: u64,
    /// The number of the append within the epoch, counted from 1.
    pub sequence: u64,
}

/// The condition under which the store appends records.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Condition {
    /// Appends unconditionally.
    Always,
    /// Appends only if the topic ends at this offset.
    EndsAt(u64),
    /// Appends only if no writer with a higher epoch has appended.
    Fenced(Fence),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
pub enum StoreError {
    /// The store refused the call, which had no effect.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// The store did not answer; the call may have had its effect or may still have it.
    #[display("no answer: {_0}")]
    Unknown(#[error(not(source))] String),
    /// A writer with a higher epoch has appended.
    #[display("fenced by a higher epoch")]
    Fenced,
    /// The sequence number of the append does not follow the last one; holds the expected number.
    #[display("the sequence number {_0} was expected")]
    OutOfSequence(#[error(not(source))] u64),
    /// The topic does not end at the offset that the append requires.
    #[display("the topic does not end at the expected offset")]
    EndMoved,
    /// The requested records have been trimmed from the topic's history.
    #[display("the records have been trimmed")]
    Trimmed,
    /// The response cannot be decoded.
    #[display("malformed response: {_0}")]
    Malformed(#[error(not(source))] String),
    /// The call had no effect and never succeeds unchanged, for example because of its size. Entries
    /// of earlier versions do not know this error.
    #[display("rejected: {_0}")]
    Rejected(#[error(not(source))] String),
}

/// A store of topics with keyed records. Acknowledged records are durable, and responses are
/// linearizable. What a read has received counts in its [`Transfer`].
pub trait KeyedStore {
    /// Returns a page of the newest records in the order of their keys, from the first key after
    /// `after` on. Records may be stored between two pages.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store gives no result in time.
    fn newest_page<'a>(
        &'a self,
        topic: &'a str,
        after: Option<&'a str>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>>;

    /// Returns the newest record of each key and the offset at which to continue reading.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store gives no result in time.
    fn newest<'a>(
        &'a self,
        topic: &'a str,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        Box::pin(async move { NewestList::default().read_on(self, topic).await })
    }

    /// Returns the first records of a range.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store gives no result in time.
    fn read_page<'a>(
        &'a self,
        range: ReadRange<'a>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>>;

    /// Returns records from an offset on. Waits up to `wait` for one if there is none.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store gives no result in time.
    fn read<'a>(
        &'a self,
        topic: &'a str,
        from: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        let range = ReadRange {
            topic,
            from,
            wait,
            max_bytes: None,
        };
        Box::pin(async move { self.read_page(range, &Transfer::default()).await })
    }

    /// Appends all records or none, and returns the offset of the first one.
    ///
    /// # Errors
    /// Returns a [`StoreError`], which shows whether the records may be stored.
    fn append<'a>(
        &'a self,
        topic: &'a str,
        records: &'a [KeyedRecord],
        condition: Condition,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>>;
}
