//! An in-memory stand-in for the platform's log service.

use {
    super::{LogFaults, LogLimits, LogRecords, log_faults::RateLimit},
    crate::{
        connection::{HttpHandler, HttpRequest, HttpResponse, Problem},
        prelude::*,
        process::{clock::with_timeout, platform::Offset},
    },
    event_listener::Event,
    hyper::Method,
    serde::Serialize,
    std::cell::Cell,
};

/// The largest append, in bytes.
const MAX_APPEND_BYTES: usize = 1 << 20;

/// The longest time that a read waits for a record, and the delay of a withheld answer.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);

/// The delay in the `Retry-After` header of a refused call.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An append-only log that is kept in memory and served over HTTP.
pub struct StandInLog {
    clock: Rc<dyn Clock>,
    limits: LogLimits,
    faults: Cell<LogFaults>,
    rate_limit: RefCell<RateLimit>,
    append_count: Cell<u64>,
    records: RefCell<LogRecords>,
    appended: Event,
}

impl StandInLog {
    /// Creates an empty log with the default limits.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        Self::with_limits(clock, LogLimits::default())
    }

    /// Creates an empty log with the given limits.
    pub fn with_limits(
        clock: Rc<dyn Clock>,
        limits: LogLimits,
    ) -> Self {
        Self {
            clock,
            limits,
            faults: Cell::default(),
            rate_limit: RefCell::default(),
            append_count: Cell::new(0),
            records: RefCell::default(),
            appended: Event::new(),
        }
    }

    /// Replaces the injected faults and wakes waiting reads, so that they observe them.
    pub fn set_faults(
        &self,
        faults: LogFaults,
    ) {
        self.faults.set(faults);
        self.appended.notify(usize::MAX);
    }

    /// Returns the number of accepted appends.
    pub fn append_count(&self) -> u64 {
        self.append_count.get()
    }

    /// Returns the total size of the stored records, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.records.borrow().stored_bytes()
    }

    async fn append(
        &self,
        body: &[u8],
    ) -> HttpResponse {
        let Ok(data) = postcard::from_bytes::<Vec<Bytes>>(body) else {
            return Problem::new(400, "bad-append", "expected a list of records").into();
        };
        let now = self.clock.now();
        let max_per_s = self.limits.max_appends_per_s;
        if !self.rate_limit.borrow_mut().admit(now, max_per_s) {
            return Problem::new(429, "rate", "too many appends in this second")
                .retry_after(RETRY_AFTER)
                .into();
        }
        self.append_count.set(self.append_count.get() + 1);
        let first = self.store_records(data);
        self.appended.notify(usize::MAX);
        if fault_applies(self.append_count.get(), self.faults.get().lose_answer_every) {
            return self.withhold_answer().await;
        }
        postcard_response(&first)
    }

    /// Stores the records of one append, twice if [`LogFaults::double_every`] applies to it.
    fn store_records(
        &self,
        data: Vec<Bytes>,
    ) -> Offset {
        let wall = self.clock.wall_time();
        let mut records = self.records.borrow_mut();
        if fault_applies(self.append_count.get(), self.faults.get().double_every) {
            records.append(wall, data.clone());
        }
        let first = records.append(wall, data);
        records.expire(wall, &self.limits);
        first
    }

    /// Withholds the answer until the client has timed out.
    async fn withhold_answer(&self) -> HttpResponse {
        self.clock.sleep(MAX_READ_WAIT).await;
        unavailable()
    }

    async fn read(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        let from = req.query("from").and_then(|v| v.parse().ok());
        let wait = req.query("wait_ms").and_then(|v| v.parse().ok());
        let (Some(from), Some(wait)) = (from.map(Offset), wait) else {
            return Problem::new(400, "bad-read", "expected from and wait_ms").into();
        };
        let wait = Duration::from_millis(wait).min(MAX_READ_WAIT);
        with_timeout(&*self.clock, wait, self.wait_for_record(from)).await;
        if self.faults.get().down {
            return unavailable();
        }
        let mut records = self.records.borrow_mut();
        records.expire(self.clock.wall_time(), &self.limits);
        postcard_response(&records.read(from))
    }

    /// Waits until there is a record at the offset or the log is down.
    async fn wait_for_record(
        &self,
        from: Offset,
    ) {
        loop {
            let appended = self.appended.listen();
            if self.records.borrow().end_offset() > from || self.faults.get().down {
                return;
            }
            appended.await;
        }
    }

    /// Sets the faults given in the body of `PUT /faults`.
    fn handle_faults(
        &self,
        body: &[u8],
    ) -> HttpResponse {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.set_faults(faults);
                HttpResponse::json(200, &faults)
            }
            Err(e) => Problem::new(400, "bad-faults", e).into(),
        }
    }

    async fn dispatch(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        if let (&Method::PUT, ["faults"]) = (&req.method, req.segments().as_slice()) {
            return self.handle_faults(&req.body);
        }
        let faults = self.faults.get();
        if faults.down {
            return unavailable();
        }
        if faults.slow_ms > 0 {
            let delay = Duration::from_millis(faults.slow_ms);
            self.clock.sleep(delay).await;
        }
        match req.segments().as_slice() {
            ["append"] => self.append(&req.body).await,
            ["records"] => self.read(req).await,
            _ => Problem::not_found().into(),
        }
    }
}

impl HttpHandler for StandInLog {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.dispatch(&req).await })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        MAX_APPEND_BYTES
    }
}

/// Returns whether a fault of every `every`-th append applies to append number `count`.
fn fault_applies(
    count: u64,
    every: u64,
) -> bool {
    every > 0 && count.is_multiple_of(every)
}

fn unavailable() -> HttpResponse {
    Problem::new(503, "down", "the log is down")
        .retry_after(RETRY_AFTER)
        .into()
}

/// Returns a response with status 200 and a postcard body, or an internal error if encoding fails.
pub(super) fn postcard_response<T>(value: &T) -> HttpResponse
where
    T: Serialize,
{
    match postcard::to_stdvec(value) {
        Ok(body) => HttpResponse::new(200, "application/octet-stream", body.into()),
        Err(e) => Problem::internal(&e.to_string()).into(),
    }
}
