//! The messages between entries.

use {
    crate::process::ledger::{Condition, KeyedPage, KeyedRecord, KeyedStore, StoreError},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A call to the store on another entry's behalf.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StoreCall {
    /// The newest record of each key.
    Newest {
        /// The topic.
        topic: String,
    },
    /// The records from an offset on.
    Read {
        /// The topic.
        topic: String,
        /// The offset.
        from: u64,
        /// How long to wait for a record, in milliseconds.
        wait_ms: u64,
    },
    /// Records to append.
    Append {
        /// The topic.
        topic: String,
        /// The records.
        records: Vec<KeyedRecord>,
        /// The condition.
        condition: Condition,
    },
}

/// The store's answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StoreReply {
    /// Records.
    Page(Result<KeyedPage, StoreError>),
    /// The offset of the first appended record.
    Appended(Result<u64, StoreError>),
}

impl StoreCall {
    /// Returns how long the call waits by itself.
    pub fn wait(&self) -> Duration {
        match self {
            Self::Read { wait_ms, .. } => Duration::from_millis(*wait_ms),
            Self::Newest { .. } | Self::Append { .. } => Duration::ZERO,
        }
    }

    /// Tells whether the call means the same when it is made twice. An append at an offset does not
    /// once the first one may have taken effect.
    pub fn is_idempotent(&self) -> bool {
        let is_at_offset = matches!(
            self,
            Self::Append {
                condition: Condition::EndsAt(_),
                ..
            }
        );
        !is_at_offset
    }

    /// Returns the call without a wait for records.
    pub fn without_wait(&self) -> Self {
        match self {
            Self::Read { topic, from, .. } => Self::Read {
                topic: topic.clone(),
                from: *from,
                wait_ms: 0,
            },
            Self::Newest { .. } | Self::Append { .. } => self.clone(),
        }
    }

    /// Makes the call.
    pub async fn run(
        &self,
        store: &dyn KeyedStore,
    ) -> StoreReply {
        match self {
            Self::Newest { topic } => StoreReply::Page(store.newest(topic).await),
            Self::Read { topic, from, .. } => {
                StoreReply::Page(store.read(topic, *from, self.wait()).await)
            }
            Self::Append {
                topic,
                records,
                condition,
            } => StoreReply::Appended(store.append(topic, records, *condition).await),
        }
    }
}

impl StoreReply {
    /// Returns the error of a call that the store did not answer properly.
    pub fn error(&self) -> Option<&StoreError> {
        match self {
            Self::Page(result) => result.as_ref().err(),
            Self::Appended(result) => result.as_ref().err(),
        }
    }
}
