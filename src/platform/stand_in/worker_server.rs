//! The worker's interface over the model.

use {
    super::{WorkerModel, WorkerOutcome},
    crate::{
        connection::{EndKind, HttpHandler, HttpRequest, HttpResponse, RunStart, StartRefusal},
        platform::worker_calls::{run_ref, subtask_ref},
        prelude::*,
        process::{clock::with_timeout, runs::PollRequest},
        request::RunRef,
    },
    event_listener::Event,
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

/// The largest call, in bytes.
const MAX_CALL_BYTES: usize = 64 << 10;

/// How often a waiting look checks for an end.
const END_POLL: Duration = Duration::from_millis(10);

/// The work of a run whose payload does not say how long it takes, in milliseconds.
const DEFAULT_WORK_MS: u64 = 500;

/// A worker in memory, over HTTP. A payload `work_ms=N` sets how long a run takes; `fail` lets it
/// fail.
pub struct StandInWorker {
    clock: Rc<dyn Clock>,
    id: Arc<str>,
    model: RefCell<WorkerModel>,
    changed: Event,
    lost: RefCell<BTreeMap<String, u32>>,
}

impl StandInWorker {
    /// Creates a worker with an id.
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
            lost: RefCell::default(),
        }
    }

    /// Carries the next `count` calls of a path out without an answer.
    pub fn lose_answers(
        &self,
        path: &str,
        count: u32,
    ) {
        self.lost.borrow_mut().insert(path.to_owned(), count);
    }

    /// Tells whether the answer of a call is to be lost, and counts it.
    fn takes_loss(
        &self,
        path: &str,
    ) -> bool {
        let mut lost = self.lost.borrow_mut();
        let left = lost.get_mut(path).filter(|left| **left > 0);
        left.map(|left| *left -= 1).is_some()
    }

    /// Returns the model, for observers.
    pub fn model(&self) -> &RefCell<WorkerModel> {
        &self.model
    }

    async fn answer(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        if req
            .header("target-instance")
            .is_some_and(|id| id != &*self.id)
        {
            return HttpResponse::text(421, "another life");
        }
        let Ok(body) = serde_json::from_slice::<Value>(&req.body) else {
            return HttpResponse::text(400, "malformed");
        };
        let reply = match req.path.as_str() {
            "/run-start" => self.start(&body),
            "/run-stop" => self.stop(&body),
            "/hold" => self.look(&body).await,
            _ => None,
        };
        reply.unwrap_or_else(|| HttpResponse::text(400, "malformed"))
    }

    fn start(
        &self,
        body: &Value,
    ) -> Option<HttpResponse> {
        let payload: Arc<str> = body["Spec"].as_str()?.into();
        let start = RunStart {
            run: named_run(body)?,
            payload: payload.clone(),
            checkpoint: body["Checkpoint"].as_str().map(Arc::from),
        };
        let (now, token) = (self.clock.now().0, body["FencingToken"].as_u64()?);
        let deadline = body["DeadlineMs"].as_u64()?;
        let outcome = outcome_of(&payload);
        let result = self
            .model
            .borrow_mut()
            .start(now, token, deadline, &start, outcome);
        self.changed.notify(usize::MAX);
        Some(self.reply(result.map(|()| json!({}))))
    }

    fn stop(
        &self,
        body: &Value,
    ) -> Option<HttpResponse> {
        let (now, token) = (self.clock.now().0, body["FencingToken"].as_u64()?);
        let result = self.model.borrow_mut().stop(now, token, named_run(body)?);
        self.changed.notify(usize::MAX);
        Some(self.reply(result.map(|()| json!({}))))
    }

    async fn look(
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
        let until = self.clock.now() + wait.into();
        loop {
            let answer = self.model.borrow_mut().look(self.clock.now().0, &call);
            let has_ends = answer.as_ref().is_ok_and(|a| !a.ended.is_empty());
            if has_ends || answer.is_err() || self.clock.now() >= until {
                return Some(self.reply(answer.map(|a| look_body(&a))));
            }
            with_timeout(&*self.clock, END_POLL, self.changed.listen()).await;
        }
    }

    fn reply(
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
            let reply = self.answer(&req).await;
            if self.takes_loss(&req.path) {
                std::future::pending::<()>().await;
            }
            reply
        })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        MAX_CALL_BYTES
    }
}

fn named_run(body: &Value) -> Option<RunRef> {
    run_ref(&body["Task"], &body["RunId"])
}

fn outcome_of(payload: &str) -> WorkerOutcome {
    let words = payload.split_whitespace();
    let work_ms = words
        .clone()
        .find_map(|w| w.strip_prefix("work_ms=")?.parse().ok());
    WorkerOutcome {
        kind: if payload.split_whitespace().any(|w| w == "fail") {
            EndKind::Failed
        } else {
            EndKind::Done
        },
        work_ms: work_ms.unwrap_or(DEFAULT_WORK_MS),
        save_ms: 0,
    }
}

fn look_body(answer: &crate::process::runs::PollResponse) -> Value {
    let running = answer.running.iter().map(|s| {
        json!([
            subtask_ref(s.run),
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
            subtask_ref(e.run),
            e.run.run,
            kind,
            e.checkpoint.as_deref().unwrap_or("")
        ])
    });
    json!({"Running": running.collect::<Vec<_>>(), "Ended": ended.collect::<Vec<_>>()})
}
