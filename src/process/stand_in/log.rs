//! A stand-in for the platform's log.

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

/// The longest wait of a read.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The pause that a caller is told to make when the log refuses its call.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An append-only log in memory, over HTTP.
pub struct StandInLog {
    clock: Rc<dyn Clock>,
    limits: LogLimits,
    faults: Cell<LogFaults>,
    rate: RefCell<RateLimit>,
    appends: Cell<u64>,
    records: RefCell<LogRecords>,
    appended: Event,
}

impl StandInLog {
    /// Creates an empty log with the usual limits.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        Self::with_limits(clock, LogLimits::default())
    }

    /// Creates an empty log.
    pub fn with_limits(
        clock: Rc<dyn Clock>,
        limits: LogLimits,
    ) -> Self {
        Self {
            clock,
            limits,
            faults: Cell::default(),
            rate: RefCell::default(),
            appends: Cell::new(0),
            records: RefCell::default(),
            appended: Event::new(),
        }
    }

    /// Switches faults.
    pub fn set_faults(
        &self,
        faults: LogFaults,
    ) {
        self.faults.set(faults);
        self.appended.notify(usize::MAX);
    }

    /// Returns the number of appends that the log has taken.
    pub fn appends(&self) -> u64 {
        self.appends.get()
    }

    /// Returns the bytes of the kept records.
    pub fn bytes(&self) -> usize {
        self.records.borrow().bytes()
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
        if !self.rate.borrow_mut().admit(now, max_per_s) {
            return Problem::new(429, "rate", "too many appends in this second")
                .retry_after(RETRY_AFTER)
                .into();
        }
        self.appends.set(self.appends.get() + 1);
        let first = self.store(data);
        self.appended.notify(usize::MAX);
        if is_turn(self.appends.get(), self.faults.get().lose_answer_every) {
            return self.lose_answer().await;
        }
        encode(&first)
    }

    /// Stores records once, or twice when the faults say so.
    fn store(
        &self,
        data: Vec<Bytes>,
    ) -> Offset {
        let wall = self.clock.wall_time();
        let mut records = self.records.borrow_mut();
        if is_turn(self.appends.get(), self.faults.get().double_every) {
            records.append(wall, data.clone());
        }
        let first = records.append(wall, data);
        records.expire(wall, &self.limits);
        first
    }

    /// Answers only after every client has stopped waiting.
    async fn lose_answer(&self) -> HttpResponse {
        self.clock.sleep(MAX_WAIT).await;
        refused()
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
        let wait = Duration::from_millis(wait).min(MAX_WAIT);
        with_timeout(&*self.clock, wait, self.wait_for_record(from)).await;
        if self.faults.get().down {
            return refused();
        }
        let mut records = self.records.borrow_mut();
        records.expire(self.clock.wall_time(), &self.limits);
        encode(&records.read(from))
    }

    /// Waits until there is a record at the offset, or the log goes down.
    async fn wait_for_record(
        &self,
        from: Offset,
    ) {
        loop {
            let appended = self.appended.listen();
            if self.records.borrow().end() > from || self.faults.get().down {
                return;
            }
            appended.await;
        }
    }

    /// Takes the faults of the body over.
    fn control(
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

    async fn answer(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        if let (&Method::PUT, ["faults"]) = (&req.method, req.segments().as_slice()) {
            return self.control(&req.body);
        }
        let faults = self.faults.get();
        if faults.down {
            return refused();
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
        Box::pin(async move { self.answer(&req).await })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        MAX_APPEND_BYTES
    }
}

/// Tells whether something that happens every n-th time happens at this one.
fn is_turn(
    count: u64,
    every: u64,
) -> bool {
    every > 0 && count.is_multiple_of(every)
}

fn refused() -> HttpResponse {
    Problem::new(503, "down", "the log is down")
        .retry_after(RETRY_AFTER)
        .into()
}

/// Encodes an answer in postcard.
pub(super) fn encode<T>(value: &T) -> HttpResponse
where
    T: Serialize,
{
    match postcard::to_stdvec(value) {
        Ok(body) => HttpResponse::new(200, "application/octet-stream", body.into()),
        Err(e) => Problem::internal(&e.to_string()).into(),
    }
}
