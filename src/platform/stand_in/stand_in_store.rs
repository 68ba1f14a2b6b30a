//! The HTTP interface of the stand-in store.

use {
    super::{StoreFaults, StoreModel},
    crate::{
        connection::{HttpHandler, HttpRequest, HttpResponse},
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{Condition, Fence, KeyedRecord, StoreError},
        },
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    event_listener::Event,
    hyper::Method,
    serde_json::json,
    std::cell::Cell,
};

/// The size limit of the records in one answer, in bytes, unless a single record is larger.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The upper limit of the wait that a read requests.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);

/// The delay of an answer that counts as dropped: longer than any caller waits.
const DROPPED_ANSWER_DELAY: Duration = Duration::from_secs(60);

/// The calls of one second.
#[derive(Clone, Copy, Default)]
struct CallCounts {
    second: u64,
    writes: u32,
    reads: u32,
}

/// An in-memory store with the HTTP interface of the real one.
pub struct StandInStore {
    clock: Rc<dyn Clock>,
    model: RefCell<StoreModel>,
    faults: Cell<StoreFaults>,
    calls: Cell<CallCounts>,
    appended: Event,
}

impl StandInStore {
    /// Creates an empty store.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        Self {
            clock,
            model: RefCell::default(),
            faults: Cell::default(),
            calls: Cell::default(),
            appended: Event::new(),
        }
    }

    /// Returns the faults that the store shows.
    pub fn faults(&self) -> StoreFaults {
        self.faults.get()
    }

    /// Sets the faults that the store shows.
    pub fn set_faults(
        &self,
        faults: StoreFaults,
    ) {
        self.faults.set(faults);
    }

    /// Returns the model, which tests observe and change.
    pub fn model(&self) -> &RefCell<StoreModel> {
        &self.model
    }

    /// Appends a record as the operator does, unaffected by faults.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the model refuses the append.
    pub fn put(
        &self,
        topic: &str,
        key: &str,
        value: &[u8],
    ) -> Result<u64, StoreError> {
        let record = KeyedRecord {
            key: key.into(),
            value: Some(Bytes::copy_from_slice(value)),
            offset: 0,
        };
        let result = self
            .model
            .borrow_mut()
            .append(topic, &[record], Condition::Always);
        self.appended.notify(usize::MAX);
        result
    }

    async fn answer(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        let faults = self.faults.get();
        self.clock
            .sleep(Duration::from_millis(faults.delay_ms))
            .await;
        if faults.refuses_calls {
            return HttpResponse::text(503, "down");
        }
        if self.is_over_rate(req.method == Method::POST) {
            return HttpResponse::text(429, "too many calls");
        }
        let Some(topic) = req.query("Topic") else {
            return HttpResponse::text(400, "no topic");
        };
        match (&req.method, req.path.as_str()) {
            (&Method::POST, "/log-append") => {
                self.clock
                    .sleep(Duration::from_millis(faults.append_delay_ms))
                    .await;
                let response = self.append(topic, req);
                if faults.drops_answers {
                    self.clock.sleep(DROPPED_ANSWER_DELAY).await;
                }
                response
            }
            (&Method::GET, "/log-read") => self.read(topic, req).await,
            (&Method::GET, "/log-newest") => self.newest(topic, req),
            _ => HttpResponse::text(404, "no such call"),
        }
    }

    /// Counts a call, and returns whether it is beyond the limit on calls in one second.
    fn is_over_rate(
        &self,
        is_write: bool,
    ) -> bool {
        let second = self.clock.now().0 / 1000;
        let mut calls = self.calls.get();
        if calls.second != second {
            calls = CallCounts {
                second,
                ..CallCounts::default()
            };
        }
        let limits = self.model.borrow().limits;
        let (count, limit) = if is_write {
            (&mut calls.writes, limits.writes_per_s)
        } else {
            (&mut calls.reads, limits.reads_per_s)
        };
        *count += 1;
        let is_over = limit.is_some_and(|limit| *count > limit);
        self.calls.set(calls);
        is_over
    }

    fn append(
        &self,
        topic: &str,
        req: &HttpRequest,
    ) -> HttpResponse {
        let number = |name| req.query(name).and_then(|v| v.parse::<u64>().ok());
        let condition = match (number("At"), number("epoch"), number("Sequence")) {
            (Some(end), _, _) => Condition::EndsAt(end),
            (None, Some(epoch), Some(sequence)) => Condition::Fenced(Fence { epoch, sequence }),
            _ => Condition::Always,
        };
        let Some(records) = decode_records(&req.body) else {
            return HttpResponse::text(400, "malformed records");
        };
        let result = self.model.borrow_mut().append(topic, &records, condition);
        self.appended.notify(usize::MAX);
        let (end, _) = self.model.borrow().bounds(topic);
        match result {
            Ok(offset) => HttpResponse::json(200, &json!({"Offset": offset, "EndOffset": end})),
            Err(StoreError::Fenced) => HttpResponse::json(409, &json!({"Reason": "fenced"})),
            Err(StoreError::OutOfSequence(expected)) => {
                HttpResponse::json(409, &json!({"Reason": "seq", "Sequence": expected}))
            }
            Err(StoreError::Rejected(why)) => HttpResponse::json(413, &json!({"Error": why})),
            Err(_) => HttpResponse::json(412, &json!({"EndOffset": end})),
        }
    }

    async fn read(
        &self,
        topic: &str,
        req: &HttpRequest,
    ) -> HttpResponse {
        let from = req.query("From").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait = req
            .query("WaitMs")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let max_kb = req.query("MaxKb").and_then(|v| v.parse::<usize>().ok());
        let max_bytes = max_kb.map_or(MAX_ANSWER_BYTES, |kb| MAX_ANSWER_BYTES.min(kb << 10));
        let deadline =
            self.clock.now() + Millis::from(Duration::from_millis(wait).min(MAX_READ_WAIT));
        loop {
            let appended = self.appended.listen();
            let page = self.model.borrow_mut().read(topic, from);
            let (end, first) = self.model.borrow().bounds(topic);
            let remaining = deadline.since(self.clock.now());
            match page {
                Ok(page) if page.records.is_empty() && !remaining.is_zero() => {
                    with_timeout(&*self.clock, remaining, appended).await;
                }
                Ok(page) => {
                    let count = answered_count(&page.records, max_bytes);
                    return HttpResponse::new(
                        200,
                        "application/octet-stream",
                        encode_page(&page.records[..count], end, first),
                    );
                }
                Err(_) => return HttpResponse::json(410, &json!({"FirstOffset": first})),
            }
        }
    }

    /// Answers with the newest records whose keys come after that of the parameter `DependsOn`, in the
    /// order of the keys.
    fn newest(
        &self,
        topic: &str,
        req: &HttpRequest,
    ) -> HttpResponse {
        let after = req.query("DependsOn").unwrap_or_default();
        let after = after.replace("%2F", "/");
        let mut page = self.model.borrow_mut().newest(topic);
        page.records.retain(|r| *r.key > *after);
        page.records.sort_by(|a, b| a.key.cmp(&b.key));
        let count = answered_count(&page.records, MAX_ANSWER_BYTES);
        let has_more = count < page.records.len();
        let items = page.records.iter().take(count).map(|r| {
            let value = STANDARD.encode(r.value.as_deref().unwrap_or_default());
            json!({"Key": &*r.key, "Value": value, "Offset": r.offset})
        });
        let items: Vec<_> = items.collect();
        HttpResponse::json(
            200,
            &json!({"items": items, "HasMore": has_more, "EndOffset": page.end}),
        )
    }
}

impl HttpHandler for StandInStore {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            if self.faults.get().append_delay_ms > 0 && req.path == "/log-append" {
                // The caller may close its connection before.
                compio::runtime::spawn(async move { drop(self.answer(&req).await) }).detach();
                return std::future::pending().await;
            }
            self.answer(&req).await
        })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        self.model.borrow().limits.request_bytes
    }
}

fn decode_records(body: &Bytes) -> Option<Vec<KeyedRecord>> {
    let mut rest = body.clone();
    let mut records = Vec::new();
    while !rest.is_empty() {
        let len = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?) as usize;
        let content = (rest.len() >= 4 + len).then(|| rest.slice(4..4 + len))?;
        rest = rest.slice(4 + len..);
        let key_len = usize::from(*content.first()?);
        let key = std::str::from_utf8(content.get(1..1 + key_len)?).ok()?;
        let value = content.slice(1 + key_len..);
        records.push(KeyedRecord {
            key: key.into(),
            value: (!value.is_empty()).then_some(value),
            offset: 0,
        });
    }
    Some(records)
}

/// Returns how many of the records one answer holds that is limited to `max_bytes`.
fn answered_count(
    records: &[KeyedRecord],
    max_bytes: usize,
) -> usize {
    let mut bytes = 0;
    let fitting = records.iter().take_while(|r| {
        bytes += r.key.len() + r.value.as_ref().map_or(0, |v| v.len());
        bytes <= max_bytes
    });
    let count = fitting.count().max(1);
    count.min(records.len())
}

fn encode_page(
    records: &[KeyedRecord],
    end: u64,
    first: u64,
) -> Bytes {
    let mut body = Vec::new();
    body.extend_from_slice(&end.to_be_bytes());
    body.extend_from_slice(&first.to_be_bytes());
    for record in records {
        let value = record.value.as_deref().unwrap_or_default();
        let len = (1 + record.key.len() + value.len()) as u32;
        body.extend_from_slice(&len.to_be_bytes());
        body.push(record.key.len() as u8);
        body.extend_from_slice(record.key.as_bytes());
        body.extend_from_slice(value);
    }
    body.into()
}
