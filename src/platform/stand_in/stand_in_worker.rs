//! The HTTP interface of the stand-in worker.

use {
    super::{PlannedOutcome, WorkerModel},
    crate::{
        connection::{EndKind, HttpHandler, HttpRequest, HttpResponse, RunStart, StartRefusal},
        platform::http_run_worker::{decode_run, encode_subtask},
        prelude::*,
        process::{clock::with_timeout, runs::PollRequest},
        request::RunRef,
    },
    event_listener::Event,
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

/// The size limit of a call, in bytes.
const MAX_CALL_BYTES: usize = 64 << 10;

/// The interval at which a waiting poll checks for ends.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The work of a run whose payload does not set it, in milliseconds.
const DEFAULT_WORK_MS: u64 = 500;

/// An order to start a run as the worker received it, which tests observe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedStart {
    /// The subtask, `ID.OCCURRENCE.STEP.INDEX`.
    pub task: Arc<str>,
    /// The payload.
    pub payload: Arc<str>,
}

/// Decides which calls to a worker get no answer and are carried out later.
pub trait LateCalls {
    /// Returns after which time the next call of a path is carried out, or `None` if it is carried
    /// out and answered at once.
    fn next_delay(
        &self,
        path: &str,
    ) -> Option<Duration>;
}

/// An in-memory worker with the HTTP interface of a real one. The word `work_ms=N` in a payload
/// sets the work of the run in milliseconds, the word `save_ms=N` the interval of its checkpoints, and
/// the word `fail` makes the run fail.
pub struct StandInWorker {
    clock: Rc<dyn Clock>,
    id: Arc<str>,
    model: RefCell<WorkerModel>,
    changed: Event,
    received_starts: RefCell<Vec<ReceivedStart>>,
    answers_to_drop: RefCell<BTreeMap<String, u32>>,
    late_calls: RefCell<Option<Rc<dyn LateCalls>>>,
}

impl StandInWorker {
    /// Creates a worker with an ID and a model.
    pub fn new(
        clock: Rc<dyn Clock>,
        id: &str,
        model: WorkerModel,
    ) -> Self {
        Self {
            clock,
            id: id.into(),
            model: RefCell::new(model),
            changed: Event::new(),
            received_starts: RefCell::default(),
            answers_to_drop: RefCell::default(),
            late_calls: RefCell::default(),
        }
    }

    /// Executes the next `count` calls of a path without answering them.
    pub fn drop_answers(
        &self,
        path: &str,
        count: u32,
    ) {
        self.answers_to_drop
            .borrow_mut()
            .insert(path.to_owned(), count);
    }

    /// Sets which calls are carried out late. Their tokens and deadlines are checked then.
    pub fn set_late_calls(
        &self,
        late_calls: Rc<dyn LateCalls>,
    ) {
        *self.late_calls.borrow_mut() = Some(late_calls);
    }

    fn next_delay(
        &self,
        path: &str,
    ) -> Option<Duration> {
        self.late_calls.borrow().as_ref()?.next_delay(path)
    }

    /// Returns whether the answer of a call is dropped, and counts the drop.
    fn consume_answer_drop(
        &self,
        path: &str,
    ) -> bool {
        let mut drops = self.answers_to_drop.borrow_mut();
        let remaining = drops.get_mut(path).filter(|count| **count > 0);
        remaining.map(|count| *count -= 1).is_some()
    }

    /// Returns the model, which tests observe.
    pub fn model(&self) -> &RefCell<WorkerModel> {
        &self.model
    }

    /// Removes and returns the received orders to start a run, whether carried out or refused.
    pub fn take_received_starts(&self) -> Vec<ReceivedStart> {
        self.received_starts.take()
    }

    async fn answer(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        if req
            .header("target-instance")
            .is_some_and(|id| id != &*self.id)
        {
            return HttpResponse::text(421, "another incarnation");
        }
        let Ok(body) = serde_json::from_slice::<Value>(&req.body) else {
            return HttpResponse::text(400, "malformed");
        };
        let response = match req.path.as_str() {
            "/run-start" => self.start(&body),
            "/run-stop" => self.stop(&body),
            "/hold" => self.poll(&body).await,
            _ => None,
        };
        response.unwrap_or_else(|| HttpResponse::text(400, "malformed"))
    }

    fn start(
        &self,
        body: &Value,
    ) -> Option<HttpResponse> {
        let payload: Arc<str> = body["Spec"].as_str()?.into();
        self.received_starts.borrow_mut().push(ReceivedStart {
            task: body["Task"].as_str()?.into(),
            payload: payload.clone(),
        });
        let start = RunStart {
            run: decode_named_run(body)?,
            payload: payload.clone(),
            checkpoint: body["Checkpoint"].as_str().map(Arc::from),
        };
        let (now, token) = (self.clock.now().0, body["FencingToken"].as_u64()?);
        let deadline = body["DeadlineMs"].as_u64()?;
        let outcome = parse_outcome(&payload);
        let result = self
            .model
            .borrow_mut()
            .start(now, token, deadline, &start, outcome);
        self.changed.notify(usize::MAX);
        Some(self.respond(result.map(|()| json!({}))))
    }

    fn stop(
        &self,
        body: &Value,
    ) -> Option<HttpResponse> {
        let (now, token) = (self.clock.now().0, body["FencingToken"].as_u64()?);
        let result = self
            .model
            .borrow_mut()
            .stop(now, token, decode_named_run(body)?);
        self.changed.notify(usize::MAX);
        Some(self.respond(result.map(|()| json!({}))))
    }

    async fn poll(
        &self,
        body: &Value,
    ) -> Option<HttpResponse> {
        let call = PollRequest {
            token: body["FencingToken"].as_u64()?,
            acknowledged_end: body["LastSeen"].as_u64()?,
            deadline_ms: body["DeadlineMs"].as_u64(),
            wait: Duration::ZERO,
        };
        let wait = Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0));
        let deadline = self.clock.now() + wait.into();
        loop {
            let answer = self.model.borrow_mut().poll(self.clock.now().0, &call);
            let has_ends = answer.as_ref().is_ok_and(|a| !a.ended.is_empty());
            if has_ends || answer.is_err() || self.clock.now() >= deadline {
                return Some(self.respond(answer.map(|a| encode_poll_response(&a))));
            }
            with_timeout(&*self.clock, END_CHECK_INTERVAL, self.changed.listen()).await;
        }
    }

    fn respond(
        &self,
        result: Result<Value, StartRefusal>,
    ) -> HttpResponse {
        let clock_ms = self.clock.now().0;
        match result {
            Ok(mut body) => {
                body["ClockMs"] = json!(clock_ms);
                HttpResponse::json(200, &body)
            }
            Err(reason) => {
                let reason = match reason {
                    StartRefusal::Fenced => "fence",
                    StartRefusal::Old => "old",
                    StartRefusal::Late => "late",
                    StartRefusal::NoRoom => "room",
                    StartRefusal::Unhealthy | StartRefusal::NotReached => "",
                };
                HttpResponse::json(409, &json!({"ClockMs": clock_ms, "Reason": reason}))
            }
        }
    }
}

impl HttpHandler for StandInWorker {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            if let Some(delay) = self.next_delay(&req.path) {
                // The caller may close its connection before.
                compio::runtime::spawn(async move {
                    self.clock.sleep(delay).await;
                    self.answer(&req).await;
                })
                .detach();
                return std::future::pending().await;
            }
            let response = self.answer(&req).await;
            if self.consume_answer_drop(&req.path) {
                std::future::pending::<()>().await;
            }
            response
        })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        MAX_CALL_BYTES
    }
}

fn decode_named_run(body: &Value) -> Option<RunRef> {
    decode_run(&body["Task"], &body["RunId"])
}

fn parse_outcome(payload: &str) -> PlannedOutcome {
    let number = |prefix| {
        let mut words = payload.split_whitespace();
        words.find_map(|w| w.strip_prefix(prefix)?.parse().ok())
    };
    PlannedOutcome {
        kind: if payload.split_whitespace().any(|w| w == "fail") {
            EndKind::Failed
        } else {
            EndKind::Done
        },
        work_ms: number("work_ms=").unwrap_or(DEFAULT_WORK_MS),
        save_interval_ms: number("save_ms=").unwrap_or(0),
    }
}

fn encode_poll_response(answer: &crate::process::runs::PollResponse) -> Value {
    let running = answer.running.iter().map(|s| {
        json!([
            encode_subtask(s.run),
            s.run.run,
            s.checkpoint.as_deref().unwrap_or(""),
            s.progress_percent
        ])
    });
    let ended = answer.ended.iter().map(|e| {
        let kind = match e.kind {
            EndKind::Done => "done",
            EndKind::Failed => "failed",
            EndKind::Stopped => "stopped",
            EndKind::Lapsed => "lapsed",
            EndKind::Broken => "broken",
            EndKind::Alone => "alone",
        };
        json!([
            e.number,
            encode_subtask(e.run),
            e.run.run,
            kind,
            e.checkpoint.as_deref().unwrap_or("")
        ])
    });
    json!({"Running": running.collect::<Vec<_>>(), "Ended": ended.collect::<Vec<_>>()})
}
