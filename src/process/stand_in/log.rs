//! A stand-in for the platform's log.

use {
    crate::{
        connection::{HttpHandler, HttpReply, HttpRequest, Problem},
        prelude::*,
        process::{
            clock::with_timeout,
            platform::{Batch, LogRecord, Offset},
        },
    },
    event_listener::Event,
    serde::Serialize,
};

/// The largest append, in bytes.
const MAX_APPEND_BYTES: usize = 1 << 20;

/// The most records of one answer.
const MAX_BATCH: usize = 1000;

/// The longest wait of a read.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// An append-only log in memory, over HTTP.
pub struct StandInLog {
    clock: Rc<dyn Clock>,
    records: RefCell<Vec<LogRecord>>,
    appended: Event,
}

impl StandInLog {
    /// Creates an empty log.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        Self {
            clock,
            records: RefCell::default(),
            appended: Event::new(),
        }
    }

    fn append(
        &self,
        body: &[u8],
    ) -> HttpReply {
        let Ok(data) = postcard::from_bytes::<Vec<Bytes>>(body) else {
            return Problem::new(400, "bad-append", "expected a list of records").into();
        };
        let mut records = self.records.borrow_mut();
        let first = Offset(records.len() as u64);
        let appended_ms = self.clock.wall().0;
        for data in data {
            let offset = Offset(records.len() as u64);
            records.push(LogRecord {
                offset,
                appended_ms,
                data,
            });
        }
        self.appended.notify(usize::MAX);
        encode(&first)
    }

    async fn read(
        &self,
        req: &HttpRequest,
    ) -> HttpReply {
        let from = req.query("from").and_then(|v| v.parse().ok());
        let wait = req.query("wait_ms").and_then(|v| v.parse().ok());
        let (Some(from), Some(wait)) = (from, wait) else {
            return Problem::new(400, "bad-read", "expected from and wait_ms").into();
        };
        let wait = Duration::from_millis(wait).min(MAX_WAIT);
        with_timeout(&*self.clock, wait, self.wait_for_record(from)).await;
        let records = self.records.borrow();
        let batch = Batch {
            records: records.iter().skip(from).take(MAX_BATCH).cloned().collect(),
            first: Offset(0),
            end: Offset(records.len() as u64),
        };
        encode(&batch)
    }

    async fn wait_for_record(
        &self,
        from: usize,
    ) {
        loop {
            let appended = self.appended.listen();
            if self.records.borrow().len() > from {
                return;
            }
            appended.await;
        }
    }
}

impl HttpHandler for StandInLog {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move {
            match req.segments().as_slice() {
                ["append"] => self.append(&req.body),
                ["records"] => self.read(&req).await,
                _ => Problem::not_found().into(),
            }
        })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        MAX_APPEND_BYTES
    }
}

/// Encodes an answer in postcard.
pub(super) fn encode<T>(value: &T) -> HttpReply
where
    T: Serialize,
{
    match postcard::to_stdvec(value) {
        Ok(body) => HttpReply::new(200, "application/octet-stream", body.into()),
        Err(e) => Problem::internal(&e.to_string()).into(),
    }
}
