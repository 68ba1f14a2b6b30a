//! Requests at a stand-in upstream.

use {
    crate::{
        connection::{HttpRequest, HttpResponse, Problem, query_value},
        prelude::*,
    },
    std::{cell::Cell, collections::BTreeMap},
};

/// The run time of a request whose body has no `run_ms`, in milliseconds.
const DEFAULT_RUN_MS: u64 = 5;

/// The largest number of request ids whose runs are counted.
const MAX_COUNTED_REQUESTS: usize = 200_000;

/// How an upstream handles requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RunMode {
    /// Requests run for the time given in their body.
    #[default]
    Normal,
    /// Requests run this many times as long as their body says.
    Slow(u32),
    /// Requests run, then fail with status 500.
    Failing,
    /// Requests are refused with status 503 without being run.
    Refusing,
    /// Requests run, but their answers carry an empty `x-request-id`.
    MismatchedId,
}

/// Sleeps in place of running requests and counts the runs of each request.
#[derive(Debug, Default)]
pub struct StandInRequests {
    mode: Cell<RunMode>,
    running: Cell<u32>,
    max_concurrent_runs: Cell<u32>,
    runs_by_id: RefCell<BTreeMap<String, RequestRuns>>,
}

/// The kind of one request and the number of its runs.
#[derive(Clone, Debug)]
struct RequestRuns {
    kind: String,
    count: u32,
}

/// Counts a running request until dropped, which also happens when its connection closes.
struct RunGuard<'a>(&'a StandInRequests);

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl StandInRequests {
    /// Sets how later requests are handled.
    pub fn set_mode(
        &self,
        mode: RunMode,
    ) {
        self.mode.set(mode);
    }

    /// Returns the highest number of requests that ran concurrently.
    pub fn max_concurrent_runs(&self) -> u32 {
        self.max_concurrent_runs.get()
    }

    /// Returns the number of runs of each request by its id.
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        let runs = self.runs_by_id.borrow();
        runs.iter().map(|(id, r)| (id.clone(), r.count)).collect()
    }

    /// Returns the number of runs of each request of a kind by its id.
    pub fn run_counts_of_kind(
        &self,
        kind: &str,
    ) -> BTreeMap<String, u32> {
        let runs = self.runs_by_id.borrow();
        let of_kind = runs.iter().filter(|(_, r)| r.kind == kind);
        of_kind.map(|(id, r)| (id.clone(), r.count)).collect()
    }

    /// Runs a request by sleeping for its run time and returns the response that the mode
    /// prescribes.
    pub async fn run(
        &self,
        clock: &dyn Clock,
        req: &HttpRequest,
        kind: &str,
    ) -> HttpResponse {
        let mode = self.mode.get();
        if mode == RunMode::Refusing {
            return Problem::new(503, "refusing", "no requests are taken").into();
        }
        let id = req.header("x-request-id").unwrap_or_default().to_owned();
        let _guard = self.begin_run(&id, kind);
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let run_ms = query_value(&body, "run_ms").and_then(|v| v.parse().ok());
        let run_time = Duration::from_millis(run_ms.unwrap_or(DEFAULT_RUN_MS));
        let factor = match mode {
            RunMode::Slow(factor) => factor,
            _ => 1,
        };
        clock.sleep(run_time * factor).await;
        match mode {
            RunMode::Failing => Problem::internal("the upstream failed").into(),
            RunMode::MismatchedId => HttpResponse::text(200, "an answer to another request\n"),
            _ => HttpResponse::text(200, &format!("{kind} done: {body}\n")),
        }
        .with_header(
            "x-request-id",
            if mode == RunMode::MismatchedId {
                ""
            } else {
                &id
            },
        )
    }

    fn begin_run(
        &self,
        id: &str,
        kind: &str,
    ) -> RunGuard<'_> {
        let mut runs = self.runs_by_id.borrow_mut();
        if runs.len() < MAX_COUNTED_REQUESTS {
            let run = runs.entry(id.to_owned()).or_insert_with(|| RequestRuns {
                kind: kind.to_owned(),
                count: 0,
            });
            run.count += 1;
        }
        self.running.set(self.running.get() + 1);
        let max = self.max_concurrent_runs.get().max(self.running.get());
        self.max_concurrent_runs.set(max);
        RunGuard(self)
    }
}
