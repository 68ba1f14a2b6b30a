//! The messages by which entries relay calls to the store.

use {
    crate::process::ledger::{Condition, KeyedPage, KeyedRecord, KeyedStore, StoreError},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A call to the store on behalf of another entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StoreCall {
    /// Reads the newest record of each key.
    Newest {
        /// The topic.
        topic: String,
    },
    /// Reads the records from an offset on.
    Read {
        /// The topic.
        topic: String,
        /// The offset of the first record to read.
        from: u64,
        /// How long to wait for a record if there is none, in milliseconds.
        wait_ms: u64,
    },
    /// Appends records.
    Append {
        /// The topic.
        topic: String,
        /// The records to append.
        records: Vec<KeyedRecord>,
        /// The condition of the append.
        condition: Condition,
    },
}

/// The store's reply.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StoreReply {
    /// The records of a read.
    Page(Result<KeyedPage, StoreError>),
    /// The offset of the first appended record.
    Appended(Result<u64, StoreError>),
}

impl StoreCall {
    /// Returns how long the store may wait for records before it answers the call.
    pub fn wait(&self) -> Duration {
        match self {
            Self::Read { wait_ms, .. } => Duration::from_millis(*wait_ms),
            Self::Newest { .. } | Self::Append { .. } => Duration::ZERO,
        }
    }

    /// Returns whether making the call twice has the effect of making it once. An append that
    /// requires an end offset does not: it fails if the first one took effect.
    pub fn is_idempotent(&self) -> bool {
        let requires_end = matches!(
            self,
            Self::Append {
                condition: Condition::EndsAt(_),
                ..
            }
        );
        !requires_end
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

    /// Makes the call and returns the store's reply.
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
    /// Returns the error of a failed call.
    pub fn error(&self) -> Option<&StoreError> {
        match self {
            Self::Page(result) => result.as_ref().err(),
            Self::Appended(result) => result.as_ref().err(),
        }
    }
}
