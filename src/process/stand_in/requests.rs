//! The request side of the stand-in upstream.

use {
    crate::{
        connection::{HttpRequest, HttpResponse, Problem, query_value},
        prelude::*,
    },
    std::{cell::Cell, collections::BTreeMap},
};

/// How long a request runs when its body does not say, in milliseconds.
const DEFAULT_RUN_MS: u64 = 5;

/// The most requests whose runs are remembered.
const MAX_REMEMBERED: usize = 200_000;

/// How an upstream runs requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RunMode {
    /// As the request's body says.
    #[default]
    Well,
    /// This many times as long.
    Slow(u32),
    /// Every answer has status 500.
    Failing,
    /// Every request is refused with status 503, without being run.
    Refusing,
    /// Every answer names another request.
    Crossed,
}

/// Sleeps in place of running requests and counts what was run.
#[derive(Debug, Default)]
pub struct StandInRequests {
    mode: Cell<RunMode>,
    running: Cell<u32>,
    most_running: Cell<u32>,
    runs: RefCell<BTreeMap<String, RequestRuns>>,
}

/// How often one request was run.
#[derive(Clone, Debug)]
struct RequestRuns {
    kind: String,
    count: u32,
}

/// Counts one running request, also when its connection is closed.
struct Running<'a>(&'a StandInRequests);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl StandInRequests {
    /// Sets how requests are run from now on.
    pub fn set_mode(
        &self,
        mode: RunMode,
    ) {
        self.mode.set(mode);
    }

    /// Returns the largest number of requests that ran at once.
    pub fn most_running(&self) -> u32 {
        self.most_running.get()
    }

    /// Returns how often each request was run, by its identity.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        let runs = self.runs.borrow();
        runs.iter().map(|(id, r)| (id.clone(), r.count)).collect()
    }

    /// Returns how often each request of a kind was run, by its identity.
    pub fn runs_of_kind(
        &self,
        kind: &str,
    ) -> BTreeMap<String, u32> {
        let runs = self.runs.borrow();
        let of_kind = runs.iter().filter(|(_, r)| r.kind == kind);
        of_kind.map(|(id, r)| (id.clone(), r.count)).collect()
    }

    /// Runs a request.
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
        let _running = self.count_run(&id, kind);
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let run_ms = query_value(&text, "run_ms").and_then(|v| v.parse().ok());
        let run_time = Duration::from_millis(run_ms.unwrap_or(DEFAULT_RUN_MS));
        let factor = match mode {
            RunMode::Slow(factor) => factor,
            _ => 1,
        };
        clock.sleep(run_time * factor).await;
        match mode {
            RunMode::Failing => Problem::internal("the upstream failed").into(),
            RunMode::Crossed => HttpResponse::text(200, "an answer to another request\n"),
            _ => HttpResponse::text(200, &format!("{kind} done: {text}\n")),
        }
        .with_header(
            "x-request-id",
            if mode == RunMode::Crossed { "" } else { &id },
        )
    }

    fn count_run(
        &self,
        id: &str,
        kind: &str,
    ) -> Running<'_> {
        let mut runs = self.runs.borrow_mut();
        if runs.len() < MAX_REMEMBERED {
            let run = runs.entry(id.to_owned()).or_insert_with(|| RequestRuns {
                kind: kind.to_owned(),
                count: 0,
            });
            run.count += 1;
        }
        self.running.set(self.running.get() + 1);
        let most = self.most_running.get().max(self.running.get());
        self.most_running.set(most);
        Running(self)
    }
}
