//! A stand-in for an upstream, which runs requests and tasks.

use {
    super::{StandInRequests, log::postcard_response, tasks::Tasks},
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

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// An upstream that sleeps in place of working. A request body such as `run_ms=20` or a task
/// payload such as `run_ms=2000` gives the run time in milliseconds.
pub struct StandInUpstream {
    clock: Rc<dyn Clock>,
    accelerators: AcceleratorSet,
    tasks: RefCell<Tasks>,
    task_stopped: Event,
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
            task_stopped: Event::new(),
            requests: StandInRequests::default(),
        }
    }

    /// Returns the part that handles requests, with its mode and counts.
    pub fn requests(&self) -> &StandInRequests {
        &self.requests
    }

    async fn handle_task_call(
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
                Some(progress_ms) => postcard_response(&progress_ms),
                None => Problem::not_found().into(),
            },
            "throttle" => postcard_response(&()),
            "stop" => {
                self.tasks.borrow_mut().stop(now, id);
                self.task_stopped.notify(usize::MAX);
                postcard_response(&())
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
        let is_known = tasks.renew(now, start.id) != TaskState::Unknown;
        let in_use = tasks.in_use(now);
        let are_available = self.accelerators.contains(start.accelerators)
            && !in_use.intersects(start.accelerators);
        if !is_known && !are_available {
            return Problem::new(409, "in-use", "the accelerators are in use").into();
        }
        tasks.start(now, start);
        postcard_response(&())
    }

    /// Renews a task's lease and returns its state once the task has ended or `wait_ms` have
    /// passed.
    async fn renew(
        &self,
        req: &HttpRequest,
        id: TaskId,
    ) -> HttpResponse {
        let wait = req
            .query("wait_ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let deadline = self.clock.now() + Millis(wait);
        loop {
            let now = self.clock.now();
            let stopped = self.task_stopped.listen();
            let state = self.tasks.borrow_mut().renew(now, id);
            let left = deadline.since(now);
            let is_running = matches!(state, TaskState::Running { .. });
            if !is_running || left.is_zero() {
                return postcard_response(&state);
            }
            let remaining = self.tasks.borrow().remaining(now, id).unwrap_or(left);
            with_timeout(&*self.clock, remaining.min(left), stopped).await;
        }
    }
}

/// Parses a task's id in the format in which [`TaskId`] displays it.
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
                ["tasks", path @ ..] => self.handle_task_call(&req, path).await,
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
