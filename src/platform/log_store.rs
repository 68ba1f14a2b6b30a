//! An HTTP client of the platform's store.

use {
    crate::{
        connection::{HttpClient, HttpClientError, HttpClientResponse, PartialResponse, Transfer},
        prelude::*,
        process::ledger::{Condition, KeyedPage, KeyedRecord, KeyedStore, ReadRange, StoreError},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    serde::Deserialize,
};

/// The time limit of an append. A slow store answers in about 300 ms; the limit is far above that
/// because an append that times out and is repeated may store its records twice.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1200);

/// How long a read may receive nothing, besides the wait that it requests. It is shorter than the
/// time limit of an append because reads are cheap to repeat.
const READ_SILENCE_LIMIT: Duration = Duration::from_millis(700);

/// The producer ID with which the leader appends.
const PRODUCER: &str = "lead";

/// The size of the two offsets that precede the records of a read, in bytes.
const READ_HEADER_BYTES: usize = 16;

/// The platform's store, as a [`KeyedStore`].
pub struct LogStore {
    client: HttpClient,
    base_url: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireAppended {
    offset: u64,
}

/// Why an append was refused. `sequence` is the sequence number that the store expects.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct WireConflict {
    reason: String,
    sequence: Option<u64>,
}

/// One page of the newest records of a topic's keys. `end_offset` is the offset after the topic's
/// last record.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireNewest {
    #[serde(rename = "items", default)]
    records: Vec<WireItem>,
    #[serde(default)]
    has_more: bool,
    end_offset: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireItem {
    key: Arc<str>,
    value: String,
    offset: u64,
}

impl LogStore {
    /// Creates a client of the store at an address.
    pub fn new(
        client: HttpClient,
        address: SocketAddr,
    ) -> Self {
        Self {
            client,
            base_url: format!("http://{address}"),
        }
    }

    async fn get(
        &self,
        path: &str,
        wait: Duration,
        transfer: &Transfer<'_>,
    ) -> Result<PartialResponse, StoreError> {
        let url = format!("{}{path}", self.base_url);
        let (first, between) = (READ_SILENCE_LIMIT + wait, READ_SILENCE_LIMIT);
        let result = self
            .client
            .get_partial(&url, first, between, transfer)
            .await;
        result.map_err(call_error)
    }

    async fn post(
        &self,
        path: &str,
        body: Vec<u8>,
    ) -> Result<HttpClientResponse, StoreError> {
        let url = format!("{}{path}", self.base_url);
        let headers = [("content-type", "application/octet-stream")];
        let result = self
            .client
            .post(&url, &headers, body.into(), APPEND_TIMEOUT)
            .await;
        result.map_err(call_error)
    }
}

impl KeyedStore for LogStore {
    fn newest_page<'a>(
        &'a self,
        topic: &'a str,
        after: Option<&'a str>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        Box::pin(async move {
            // The store takes the key after which the page begins in the parameter `DependsOn`.
            let after = after.map(|key| format!("&DependsOn={}", escape(key)));
            let after = after.unwrap_or_default();
            let path = format!("/log-newest?Topic={topic}&part=0{after}");
            let answer = self.get(&path, Duration::ZERO, transfer).await?;
            match (answer.status, answer.cut_by) {
                (200, None) => decode_newest(&answer.body),
                (200, Some(e)) => Err(call_error(e)),
                (status, _) => Err(status_error(status, &answer.body)),
            }
        })
    }

    fn read_page<'a>(
        &'a self,
        range: ReadRange<'a>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        Box::pin(async move {
            let (topic, from, wait_ms) = (range.topic, range.from, range.wait.as_millis());
            let size = range
                .max_bytes
                .map(|n| format!("&MaxKb={}", n.div_ceil(1024)));
            let size = size.unwrap_or_default();
            let path = format!("/log-read?Topic={topic}&part=0&From={from}&WaitMs={wait_ms}{size}");
            let answer = self.get(&path, range.wait, transfer).await?;
            match answer.status {
                200 => decode_read(&answer.body, from, answer.cut_by),
                410 => Err(StoreError::Trimmed),
                status => Err(status_error(status, &answer.body)),
            }
        })
    }

    fn append<'a>(
        &'a self,
        topic: &'a str,
        records: &'a [KeyedRecord],
        condition: Condition,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            let condition = match condition {
                Condition::Always => String::new(),
                Condition::EndsAt(end) => format!("&At={end}"),
                Condition::Fenced(fence) => format!(
                    "&ProducerId={PRODUCER}&epoch={}&Sequence={}",
                    fence.epoch, fence.sequence
                ),
            };
            let path = format!("/log-append?Topic={topic}&part=0{condition}");
            let answer = self.post(&path, encode_records(records)?).await?;
            match answer.status {
                200 => {
                    let appended: WireAppended =
                        serde_json::from_slice(&answer.body).map_err(malformed)?;
                    Ok(appended.offset)
                }
                409 => Err(conflict_error(&answer)),
                412 => Err(StoreError::EndMoved),
                status => Err(status_error(status, &answer.body)),
            }
        })
    }
}

fn call_error(e: HttpClientError) -> StoreError {
    match e {
        HttpClientError::NotConnected(why) | HttpClientError::NotListening(why) => {
            StoreError::Refused(why)
        }
        e => StoreError::Unknown(e.to_string()),
    }
}

fn malformed(e: serde_json::Error) -> StoreError {
    StoreError::Malformed(e.to_string())
}

/// Converts an error status. The listed ones mean that the call had no effect, the first ones that it
/// never will have; after any other status the effect is unknown.
fn status_error(
    status: u16,
    body: &[u8],
) -> StoreError {
    let detail = String::from_utf8_lossy(body);
    let detail: String = detail.chars().take(200).collect();
    match status {
        400 | 413 | 422 => StoreError::Rejected(format!("status {status} {detail}")),
        400..=499 | 503 | 507 => StoreError::Refused(format!("status {status} {detail}")),
        _ => StoreError::Unknown(format!("status {status} {detail}")),
    }
}

fn conflict_error(answer: &HttpClientResponse) -> StoreError {
    match serde_json::from_slice::<WireConflict>(&answer.body) {
        Ok(conflict) if conflict.reason == "fenced" => StoreError::Fenced,
        Ok(WireConflict {
            sequence: Some(expected),
            ..
        }) => StoreError::OutOfSequence(expected),
        _ => {
            let detail = String::from_utf8_lossy(&answer.body).into_owned();
            StoreError::Refused(format!("status 409 {detail}"))
        }
    }
}

/// Escapes the characters that occur in record keys and have a meaning in a query string.
fn escape(key: &str) -> String {
    key.replace('%', "%25")
        .replace('/', "%2F")
        .replace('&', "%26")
        .replace(' ', "%20")
}

fn decode_newest(body: &[u8]) -> Result<KeyedPage, StoreError> {
    let page: WireNewest = serde_json::from_slice(body).map_err(malformed)?;
    let records: Result<Vec<KeyedRecord>, StoreError> =
        page.records.into_iter().map(decode_item).collect();
    Ok(KeyedPage {
        records: records?,
        end: page.end_offset,
        has_more: page.has_more,
    })
}

fn decode_item(item: WireItem) -> Result<KeyedRecord, StoreError> {
    let value = STANDARD.decode(item.value);
    let value = value.map_err(|e| StoreError::Malformed(e.to_string()))?;
    Ok(KeyedRecord {
        key: item.key,
        value: Some(value.into()),
        offset: item.offset,
    })
}

/// Encodes records. Each one consists of its length in four bytes, the key's length in one byte,
/// the key and the value.
fn encode_records(records: &[KeyedRecord]) -> Result<Vec<u8>, StoreError> {
    let mut body = Vec::new();
    for record in records {
        let key_len = u8::try_from(record.key.len())
            .map_err(|_| StoreError::Rejected("a key is longer than 255 bytes".to_owned()))?;
        let value = record.value.as_deref().unwrap_or_default();
        let len = 1 + record.key.len() + value.len();
        body.extend_from_slice(&u32::try_from(len).unwrap_or(u32::MAX).to_be_bytes());
        body.push(key_len);
        body.extend_from_slice(record.key.as_bytes());
        body.extend_from_slice(value);
    }
    Ok(body)
}

/// Decodes a read. The topic's end offset and first retained offset come first; the records from
/// offset `from` on follow. A record whose key cannot be decoded applies to no key
/// and is skipped. An answer that was cut off counts up to its last complete record, so that a
/// repetition reads on there; a truncated record in a complete answer makes the whole read fail.
fn decode_read(
    body: &Bytes,
    from: u64,
    cut_by: Option<HttpClientError>,
) -> Result<KeyedPage, StoreError> {
    if body.len() < READ_HEADER_BYTES && cut_by.is_none() {
        return Err(StoreError::Malformed(
            "the response is truncated".to_owned(),
        ));
    }
    let topic_end = body.first_chunk().map_or(from, |b| u64::from_be_bytes(*b));
    let mut rest = body.slice(READ_HEADER_BYTES.min(body.len())..);
    let mut offset = from;
    let mut records = Vec::new();
    while rest.len() >= 4 {
        let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        if rest.len() < 4 + len {
            if cut_by.is_some() {
                break;
            }
            return Err(StoreError::Malformed("a record is truncated".to_owned()));
        }
        let content = rest.slice(4..4 + len);
        rest = rest.slice(4 + len..);
        match decode_record(&content, offset) {
            Some(record) => records.push(record),
            None => tracing::warn!(offset, bytes = len, "skipped a record without a valid key"),
        }
        offset += 1;
    }
    if let Some(e) = cut_by {
        if offset == from {
            return Err(call_error(e));
        }
        tracing::info!(from, end = offset, error = %e, "an answer was cut off; its complete records are used");
    }
    Ok(KeyedPage {
        records,
        end: offset,
        has_more: offset < topic_end,
    })
}

fn decode_record(
    content: &Bytes,
    offset: u64,
) -> Option<KeyedRecord> {
    let key_len = usize::from(*content.first()?);
    let key = std::str::from_utf8(content.get(1..1 + key_len)?).ok()?;
    let value = content.slice(1 + key_len..);
    Some(KeyedRecord {
        key: key.into(),
        value: (!value.is_empty()).then_some(value),
        offset,
    })
}
