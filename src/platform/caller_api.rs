//! The HTTP interface by which callers submit, query and cancel jobs.

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

/// The header that carries the caller's API key.
const KEY_HEADER: &str = "credential";

/// The header that carries the time for which the caller waits for an answer, in milliseconds.
const DEADLINE_HEADER: &str = "deadline-ms";

/// The body limit until a configuration is known, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 256 << 10;

/// The time for which a caller waits if its request has no deadline header.
const DEFAULT_DEADLINE_MS: u64 = 3000;

/// The upper limit of a caller's deadline, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// The margin that is subtracted from a caller's deadline for the transit of the answer, in
/// milliseconds: several times the network latency to callers.
const ANSWER_MARGIN_MS: u64 = 100;

/// The upper limit of that margin, in percent of the caller's deadline, so that a retry with a
/// short deadline still has most of its time.
const MAX_MARGIN_PERCENT: u64 = 25;

/// The longest `retry-after`, in seconds. Retries are spread so that an outage does not end with
/// all of them at once; a longer wait would idle callers whose job can be accepted already.
const MAX_RETRY_AFTER_S: u64 = 4;

/// The time that a caller needs for its retry, at the end of its deadline: a call to a slow store
/// takes about 300 ms.
const RETRY_DURATION: Duration = Duration::from_millis(500);

/// The HTTP handler for callers' requests.
pub struct CallerApi {
    job_service: Rc<JobService>,
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

impl CallerApi {
    /// Creates the handler of an entry.
    pub fn new(job_service: Rc<JobService>) -> Self {
        Self { job_service }
    }

    /// Answers a request, and tells a caller that is to retry when to do so.
    async fn answer(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        let began = self.job_service.clock.now();
        let response = self.answer_once(req).await;
        if response.status != 503 {
            return response;
        }
        let elapsed = self.job_service.clock.now().since(began);
        let remaining = time_left(req).saturating_sub(elapsed);
        let retry_after = retry_after_seconds(remaining, rand::random());
        response.with_header("retry-after", retry_after)
    }

    async fn answer_once(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        let Some(table) = self.job_service.queue_table() else {
            return unavailable("no configuration is known yet");
        };
        let host = req.header("host").unwrap_or_default();
        let Some(queue) = table.route(host, &req.path) else {
            return self.refuse(404, "there is no such queue");
        };
        let Some(account) = authenticate(&table, queue, req) else {
            return self.refuse(401, "a valid key is required");
        };
        let name = &req.path[queue.prefix.len()..];
        if name.is_empty() && req.method == Method::GET {
            return match self.job_service.pending_jobs(&queue.name) {
                Ok(pending) => HttpResponse::json(200, &WirePending { pending }),
                Err(e) => into_response(Err(e)),
            };
        }
        let Ok(id) = name.parse() else {
            return HttpResponse::text(404, "there is no such job");
        };
        match req.method {
            Method::POST => self.submit(id, queue, account, req).await,
            Method::GET => self.state(id),
            Method::DELETE => self.cancel(id, &account, req).await,
            _ => HttpResponse::text(405, "there is no such method"),
        }
    }

    /// Answers a request that the configuration does not allow. An old view shows nothing about what was
    /// confirmed since, so the caller comes back then; another entry may know more.
    fn refuse(
        &self,
        status: u16,
        detail: &str,
    ) -> HttpResponse {
        if self
            .job_service
            .config
            .is_current(self.job_service.clock.now())
        {
            HttpResponse::text(status, detail)
        } else {
            unavailable("the view of the configuration is too old")
        }
    }

    /// Returns the version of the configuration in force and the age of the view that has it.
    fn config_version_and_age(&self) -> (Option<u64>, Option<Duration>) {
        let config = &self.job_service.config;
        let version = config.table().map(|t| t.version);
        (version, config.age(self.job_service.clock.now()))
    }

    async fn submit(
        &self,
        id: StepJobId,
        queue: &Queue,
        account: AccountName,
        req: &HttpRequest,
    ) -> HttpResponse {
        match decode_job(
            id,
            &req.body,
            queue,
            account,
            self.job_service.clock.wall_time(),
        ) {
            Ok(job) => into_response(self.job_service.submit(job, time_left(req)).await),
            Err(e @ super::JobBodyError::Unsupported(_)) => {
                tracing::info!(job = %id, error = %e, "job rejected");
                unavailable(&e.to_string())
            }
            Err(e @ super::JobBodyError::PayloadTooLong) => {
                tracing::info!(job = %id, error = %e, "job rejected");
                HttpResponse::text(413, &e.to_string())
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
        match self.job_service.phase(id) {
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
            Err(e) => into_response(Err(e)),
        }
    }

    async fn cancel(
        &self,
        id: StepJobId,
        account: &AccountName,
        req: &HttpRequest,
    ) -> HttpResponse {
        let cancelling = self.job_service.cancel(id, account, time_left(req));
        into_response(cancelling.await)
    }
}

impl HttpHandler for CallerApi {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            let response = self.answer(&req).await;
            if req.method != Method::GET || response.status != 200 {
                let (version, config_age) = self.config_version_and_age();
                tracing::info!(method = %req.method, path = req.path, status = response.status, version, ?config_age, "caller answered");
            }
            response
        })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        let table = self.job_service.queue_table();
        table.map_or(DEFAULT_MAX_BODY_BYTES, |t| t.limits.max_body_bytes)
    }

    fn head_timeout(&self) -> Option<Duration> {
        let table = self.job_service.queue_table()?;
        // The server's timeout covers the time without a request as well.
        Some(table.limits.head_timeout.max(table.limits.idle_timeout))
    }
}

/// Returns the account of the request's key; on a public queue, a request without a valid key
/// belongs to the account with the empty name.
fn authenticate(
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

/// Returns the caller's deadline less the margin for the transit of the answer.
fn time_left(req: &HttpRequest) -> Duration {
    let deadline_ms = req
        .header(DEADLINE_HEADER)
        .and_then(|v| v.parse::<f64>().ok());
    let deadline_ms = deadline_ms.map_or(DEFAULT_DEADLINE_MS, |ms| ms as u64);
    let deadline_ms = deadline_ms.min(MAX_DEADLINE_MS);
    let margin_ms = ANSWER_MARGIN_MS.min(deadline_ms * MAX_MARGIN_PERCENT / 100);
    Duration::from_millis(deadline_ms - margin_ms)
}

fn into_response(result: Result<(), DeskError>) -> HttpResponse {
    match result {
        Ok(()) => HttpResponse::new(200, "application/json", Bytes::from_static(b"{}")),
        Err(DeskError::Gone) => HttpResponse::text(410, "there is no such job"),
        Err(e @ DeskError::TooLarge) => HttpResponse::text(413, &e.to_string()),
        Err(e @ DeskError::CancelledEarly) => HttpResponse::text(410, &e.to_string()),
        Err(e @ (DeskError::NotStored | DeskError::Overloaded)) => unavailable(&e.to_string()),
        Err(e @ (DeskError::Stale | DeskError::TooManyCancellations)) => {
            unavailable(&e.to_string())
        }
        Err(e @ DeskError::Unknown) => HttpResponse::text(504, &e.to_string()),
    }
}

fn unavailable(detail: &str) -> HttpResponse {
    HttpResponse::text(503, detail)
}

/// Returns after how many seconds a caller retries that has `remaining` of its deadline left: a
/// random number, so that callers do not retry all at once, of which the retry still fits into the
/// deadline. It is at least 1, the shortest time that the header can state besides none.
pub fn retry_after_seconds(
    remaining: Duration,
    random: u64,
) -> u64 {
    let latest = remaining.saturating_sub(RETRY_DURATION).as_secs();
    1 + random % latest.clamp(1, MAX_RETRY_AFTER_S)
}
