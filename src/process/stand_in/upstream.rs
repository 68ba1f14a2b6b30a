//! A stand-in for an upstream: runs requests and tasks.

use {
    super::{StandInRequests, log::encode, tasks::Tasks},
    crate::{
        connection::{HttpHandler, HttpRequest, HttpResponse, Problem},
        prelude::*,
        process::{
            clock::with_timeout,
            platform::{TaskId, TaskStart, TaskState, Term},
        },
    },
    event_listener::Event,
};

/// The largest body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// An upstream that sleeps in place of working. A request body such as `run_ms=20` says for how
/// long, a task payload such as `run_ms=2000` does the same.
pub struct StandInUpstream {
    clock: Rc<dyn Clock>,
    accelerators: AcceleratorSet,
    tasks: RefCell<Tasks>,
    changed: Event,
    requests: StandInRequests,
}

impl StandInUpstream {
    /// Creates an idle upstream.
    pub fn new(
        clock: Rc<dyn Clock>,
        accelerators: u32,
    ) -> Self {
        Self {
            clock,
            accelerators: AcceleratorSet::first(accelerators),
            tasks: RefCell::default(),
            changed: Event::new(),
            requests: StandInRequests::default(),
        }
    }

    /// Returns the request side.
    pub fn requests(&self) -> &StandInRequests {
        &self.requests
    }

    async fn call_task(
        &self,
        req: &HttpRequest,
        path: &[&str],
    ) -> HttpResponse {
        let now = self.clock.now();
        if path == ["start"] {
            return self.start(&req.body);
        }
        let [id, call] = path else {
            return Problem::not_found().into();
        };
        let Some(id) = parse_task_id(id) else {
            return Problem::not_found().into();
        };
        match *call {
            "renew" => self.renew(req, id).await,
            "checkpoint" => match self.tasks.borrow_mut().checkpoint(now, id) {
                Some(progress_ms) => encode(&progress_ms),
                None => Problem::not_found().into(),
            },
            "throttle" => encode(&()),
            "stop" => {
                self.tasks.borrow_mut().stop(now, id);
                self.changed.notify(usize::MAX);
                encode(&())
            }
            _ => Problem::not_found().into(),
        }
    }

    fn start(
        &self,
        body: &[u8],
    ) -> HttpResponse {
        let Ok(start) = postcard::from_bytes::<TaskStart>(body) else {
            return Problem::new(400, "bad-task", "expected a task").into();
        };
        let now = self.clock.now();
        let mut tasks = self.tasks.borrow_mut();
        let known = tasks.renew(now, start.id) != TaskState::Unknown;
        let in_use = tasks.in_use(now);
        let fits = self.accelerators.contains(start.accelerators)
            && !in_use.intersects(start.accelerators);
        if !known && !fits {
            return Problem::new(409, "in-use", "the accelerators are in use").into();
        }
        tasks.start(now, start);
        encode(&())
    }

    /// Renews a lease, waiting for the task's end up to the asked time.
    async fn renew(
        &self,
        req: &HttpRequest,
        id: TaskId,
    ) -> HttpResponse {
        let wait = req
            .query("wait_ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let until = self.clock.now() + Millis(wait);
        loop {
            let now = self.clock.now();
            let changed = self.changed.listen();
            let state = self.tasks.borrow_mut().renew(now, id);
            let left = until.since(now);
            let running = matches!(state, TaskState::Running { .. });
            if !running || left.is_zero() {
                return encode(&state);
            }
            let remaining = self.tasks.borrow().remaining(now, id).unwrap_or(left);
            with_timeout(&*self.clock, remaining.min(left), changed).await;
        }
    }
}

/// Parses a task's identity as [`TaskId`] displays it.
fn parse_task_id(text: &str) -> Option<TaskId> {
    let mut parts = text.split('-');
    let job = parts.next()?.parse().ok()?;
    let (ownership, start) = parts.next()?.split_once('.')?;
    let term = Term {
        ownership: ownership.parse().ok()?,
        start: start.parse().ok()?,
    };
    let member = parts.next()?.parse().ok()?;
    let id = TaskId { job, term, member };
    parts.next().is_none().then_some(id)
}

impl HttpHandler for StandInUpstream {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            match req.segments().as_slice() {
                ["run", kind] => self.requests.run(&*self.clock, &req, kind).await,
                ["tasks", path @ ..] => self.call_task(&req, path).await,
                _ => Problem::not_found().into(),
            }
        })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        MAX_BODY_BYTES
    }
}
