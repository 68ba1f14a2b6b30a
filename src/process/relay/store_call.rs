//! The messages by which entries relay calls to the store.

use {
    crate::{
        connection::{Transfer, false_if_missing, none_if_missing},
        process::ledger::{Condition, KeyedPage, KeyedRecord, KeyedStore, ReadRange, StoreError},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The size of the records in a reply of one frame, in bytes, unless a single record is larger. It is
/// far below the limit of a frame, and as much as one read of the store returns.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// The size of the records in one frame of a reply of several frames, in bytes, unless a single record
/// is larger. The caller keeps the complete frames if its connection breaks.
const MAX_PART_BYTES: usize = 64 << 10;

/// The upper limit on the encoded length of a record's offset and lengths, in bytes.
const RECORD_ENVELOPE_BYTES: usize = 40;

/// A call to the store on behalf of another entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StoreCall {
    /// Reads the newest record of each key, or of the keys of one page.
    Newest {
        /// The topic.
        topic: String,
        /// Whether the caller accepts a reply of several frames. Entries of earlier versions do not
        /// send this field.
        #[serde(deserialize_with = "false_if_missing")]
        accepts_parts: bool,
        /// The key after which the page begins, empty for the first page; `None` for the whole list.
        /// Entries of earlier versions do not send this field, and reply with the whole list.
        #[serde(deserialize_with = "none_if_missing")]
        page_after: Option<String>,
    },
    /// Reads the records from an offset on.
    Read {
        /// The topic.
        topic: String,
        /// The offset of the first record to read.
        from: u64,
        /// How long to wait for a record if there is none, in milliseconds.
        wait_ms: u64,
        /// Whether the caller accepts a reply of several frames. Entries of earlier versions do not
        /// send this field.
        #[serde(deserialize_with = "false_if_missing")]
        accepts_parts: bool,
        /// The size limit of the page, in bytes. Entries of earlier versions do not send this field,
        /// and reply with as much as the store returns at once.
        #[serde(deserialize_with = "none_if_missing")]
        max_bytes: Option<u64>,
    },
    /// Appends records.
    Append {
        /// The topic.
        topic: String,
        /// The records to append.
        records: Vec<KeyedRecord>,
        /// The condition of the append.
        condition: Condition,
        /// Whether the caller knows [`StoreError::Rejected`]. Entries of earlier versions do not send
        /// this field.
        #[serde(deserialize_with = "false_if_missing")]
        accepts_rejection: bool,
    },
}

/// The store's reply.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StoreReply {
    /// The records of a read.
    Page(Result<KeyedPage, StoreError>),
    /// The offset of the first appended record.
    Appended(Result<u64, StoreError>),
    /// Records of a page that continues in the next frame; none while the call is in progress. Entries of earlier versions do not know it.
    Part(KeyedPage),
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
            Self::Read {
                topic,
                from,
                accepts_parts,
                max_bytes,
                ..
            } => Self::Read {
                topic: topic.clone(),
                from: *from,
                wait_ms: 0,
                accepts_parts: *accepts_parts,
                max_bytes: *max_bytes,
            },
            Self::Newest { .. } | Self::Append { .. } => self.clone(),
        }
    }

    /// Makes the call and returns the store's reply.
    pub async fn run(
        &self,
        store: &dyn KeyedStore,
        transfer: &Transfer<'_>,
    ) -> StoreReply {
        match self {
            Self::Newest {
                topic, page_after, ..
            } => StoreReply::Page(match page_after.as_deref() {
                None => store.newest(topic).await,
                Some("") => store.newest_page(topic, None, transfer).await,
                Some(after) => store.newest_page(topic, Some(after), transfer).await,
            }),
            Self::Read {
                topic,
                from,
                max_bytes,
                ..
            } => {
                let range = ReadRange {
                    topic,
                    from: *from,
                    wait: self.wait(),
                    max_bytes: *max_bytes,
                };
                StoreReply::Page(store.read_page(range, transfer).await)
            }
            Self::Append {
                topic,
                records,
                condition,
                ..
            } => StoreReply::Appended(store.append(topic, records, *condition).await),
        }
    }
}

impl StoreCall {
    /// Returns whether the caller accepts a reply of several frames.
    pub fn accepts_parts(&self) -> bool {
        matches!(
            self,
            Self::Newest {
                accepts_parts: true,
                ..
            } | Self::Read {
                accepts_parts: true,
                ..
            }
        )
    }

    /// Returns the page of which a call has received only some records before its connection broke;
    /// `None` if there are none, or if the caller cannot go on after the last one. It can after those of
    /// a read, which follow each other, and after those of a page in the order of the keys. An entry of an
    /// earlier version sends the whole list in the order of the offsets, and its parts say nothing of more.
    pub fn cut_page(
        &self,
        received: KeyedPage,
    ) -> Option<KeyedPage> {
        let last = received.records.last()?;
        let end = match self {
            Self::Read { .. } => last.offset + 1,
            Self::Newest { .. } if received.has_more => received.end,
            Self::Newest { .. } | Self::Append { .. } => return None,
        };
        Some(KeyedPage {
            end,
            has_more: true,
            ..received
        })
    }

    /// Returns the frames by which a reply to this call is sent. A page is divided over several ones if
    /// the caller accepts that; otherwise, a read is cut short, as its caller reads on. An append that was rejected counts as refused for a caller that does not know the
    /// difference.
    pub fn reply_frames(
        &self,
        reply: StoreReply,
    ) -> Vec<StoreReply> {
        match (self, reply) {
            (call, StoreReply::Page(Ok(page))) if call.accepts_parts() => page_frames(page),
            (Self::Read { .. }, StoreReply::Page(Ok(page))) => {
                vec![StoreReply::Page(Ok(first_records(page)))]
            }
            (
                Self::Append {
                    accepts_rejection: false,
                    ..
                },
                StoreReply::Appended(Err(StoreError::Rejected(why))),
            ) => vec![StoreReply::Appended(Err(StoreError::Refused(why)))],
            (_, reply) => vec![reply],
        }
    }
}

/// Divides the records of a page over several frames, of which the last one is a page.
fn page_frames(mut page: KeyedPage) -> Vec<StoreReply> {
    let mut frames = Vec::new();
    let mut records = Vec::new();
    let mut bytes = 0;
    for record in std::mem::take(&mut page.records) {
        let record_bytes = record.size() + RECORD_ENVELOPE_BYTES;
        if !records.is_empty() && bytes + record_bytes > MAX_PART_BYTES {
            frames.push(StoreReply::Part(KeyedPage {
                records: std::mem::take(&mut records),
                end: page.end,
                has_more: true,
            }));
            bytes = 0;
        }
        bytes += record_bytes;
        records.push(record);
    }
    frames.push(StoreReply::Page(Ok(KeyedPage { records, ..page })));
    frames
}

/// Returns the first records of a read that fit into a frame.
fn first_records(mut page: KeyedPage) -> KeyedPage {
    let mut bytes = 0;
    let fitting = page.records.iter().take_while(|r| {
        bytes += r.size() + RECORD_ENVELOPE_BYTES;
        bytes <= MAX_REPLY_BYTES
    });
    let fitting = fitting.count().max(1);
    if let Some(next) = page.records.get(fitting) {
        page.end = next.offset;
        page.has_more = true;
        page.records.truncate(fitting);
    }
    page
}

impl StoreReply {
    /// Returns the error of a failed call.
    pub fn error(&self) -> Option<&StoreError> {
        match self {
            Self::Page(result) => result.as_ref().err(),
            Self::Appended(result) => result.as_ref().err(),
            Self::Part(_) => None,
        }
    }
}
