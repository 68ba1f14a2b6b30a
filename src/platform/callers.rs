//! The interface to callers.

use {
    super::decode_job,
    crate::{
        connection::{HttpHandler, HttpRequest, HttpResponse},
        prelude::*,
        process::job_service::{DeskError, JobService},
        request::{JobPhase, StepJobId},
        version::{Queue, QueueTable},
    },
    hyper::Method,
    serde::Serialize,
};

/// The header with the caller's key.
const KEY_HEADER: &str = "credential";

/// The header with the time that the caller waits for an answer, in milliseconds.
const DEADLINE_HEADER: &str = "deadline-ms";

/// The largest body that is read before a configuration is known, in bytes.
const DEFAULT_BODY_BYTES: usize = 256 << 10;

/// The time that a caller waits when it does not say.
const DEFAULT_DEADLINE_MS: u64 = 3000;

/// The part of a caller's time that is left for the way back of the answer, in milliseconds: several
/// times the way to callers.
const ANSWER_MARGIN_MS: u64 = 100;

/// The largest share of a caller's time that is left for the way back. A caller that comes back with
/// little time still gets most of it.
const MAX_MARGIN_PERCENT: u64 = 25;

/// When a caller that is rejected should come back, in seconds: another entry may reach the store,
/// and a caller's time allows for two or three tries.
const RETRY_AFTER_S: u32 = 1;

/// Answers callers.
pub struct Callers {
    desk: Rc<JobService>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireState {
    state: &'static str,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WirePending {
    pending: usize,
}

impl Callers {
    /// Creates the answering side of an entry.
    pub fn new(desk: Rc<JobService>) -> Self {
        Self { desk }
    }

    async fn answer(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        let Some(table) = self.desk.table() else {
            return unavailable("no configuration is known yet");
        };
        let host = req.header("host").unwrap_or_default();
        let Some(queue) = table.route(host, &req.path) else {
            return HttpResponse::text(404, "there is no such queue");
        };
        let Some(account) = account_of(&table, queue, req) else {
            return HttpResponse::text(401, "a valid key is required");
        };
        let name = &req.path[queue.prefix.len()..];
        if name.is_empty() && req.method == Method::GET {
            let pending = self.desk.pending_jobs(&queue.name);
            return HttpResponse::json(200, &WirePending { pending });
        }
        let Some(id) = parse_id(name) else {
            return HttpResponse::text(404, "there is no such job");
        };
        match req.method {
            Method::POST => self.submit(id, queue, account, req).await,
            Method::GET => self.state(id),
            Method::DELETE => self.cancel(id, req).await,
            _ => HttpResponse::text(405, "there is no such method"),
        }
    }

    async fn submit(
        &self,
        id: StepJobId,
        queue: &Queue,
        account: AccountName,
        req: &HttpRequest,
    ) -> HttpResponse {
        match decode_job(id, &req.body, queue, account, self.desk.clock.wall()) {
            Ok(job) => reply_of(self.desk.submit(job, time_left(req)).await),
            Err(e @ super::JobBodyError::NotServed(_)) => {
                tracing::info!(job = %id, error = %e, "job rejected");
                unavailable(&e.to_string())
            }
            Err(e) => {
                tracing::info!(job = %id, error = %e, "job rejected");
                HttpResponse::text(400, &e.to_string())
            }
        }
    }

    fn state(
        &self,
        id: StepJobId,
    ) -> HttpResponse {
        match self.desk.phase(id) {
            Ok(phase) => {
                let state = match phase {
                    JobPhase::Queued => "queued",
                    JobPhase::Running => "in_progress",
                    JobPhase::Completed => "completed",
                    JobPhase::Failed => "failed",
                    JobPhase::Cancelled => "cancelled",
                };
                HttpResponse::json(200, &WireState { state })
            }
            Err(e) => reply_of(Err(e)),
        }
    }

    async fn cancel(
        &self,
        id: StepJobId,
        req: &HttpRequest,
    ) -> HttpResponse {
        reply_of(self.desk.cancel(id, time_left(req)).await)
    }
}

impl HttpHandler for Callers {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            let reply = self.answer(&req).await;
            if req.method != Method::GET || reply.status != 200 {
                let version = self.desk.table().map(|t| t.version);
                tracing::info!(method = %req.method, path = req.path, status = reply.status, version, "caller answered");
            }
            reply
        })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        let table = self.desk.table();
        table.map_or(DEFAULT_BODY_BYTES, |t| t.limits.max_body_bytes)
    }
}

fn account_of(
    table: &QueueTable,
    queue: &Queue,
    req: &HttpRequest,
) -> Option<AccountName> {
    let account = req
        .header(KEY_HEADER)
        .and_then(|key| table.accounts_by_key.get(key));
    match account {
        Some(account) => Some(account.clone()),
        None => queue.is_public.then(|| AccountName::from("")),
    }
}

fn parse_id(text: &str) -> Option<StepJobId> {
    let is_id = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok().filter(|_| is_id);
    number.map(StepJobId)
}

/// Returns how long the caller still waits, the way back left out.
fn time_left(req: &HttpRequest) -> Duration {
    let given = req
        .header(DEADLINE_HEADER)
        .and_then(|v| v.parse::<f64>().ok());
    let given = given.map_or(DEFAULT_DEADLINE_MS, |ms| ms as u64);
    let margin = ANSWER_MARGIN_MS.min(given * MAX_MARGIN_PERCENT / 100);
    Duration::from_millis(given - margin)
}

fn reply_of(result: Result<(), DeskError>) -> HttpResponse {
    match result {
        Ok(()) => HttpResponse::new(200, "application/json", Bytes::from_static(b"{}")),
        Err(DeskError::Gone) => HttpResponse::text(410, "there is no such job"),
        Err(e @ DeskError::NotStored) => unavailable(&e.to_string()),
        Err(e @ DeskError::Stale) => unavailable(&e.to_string()),
        Err(e @ DeskError::Unknown) => HttpResponse::text(504, &e.to_string()),
    }
}

fn unavailable(detail: &str) -> HttpResponse {
    HttpResponse::text(503, detail).with_header("retry-after", RETRY_AFTER_S)
}
