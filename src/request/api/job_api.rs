//! The job API for client accounts.

use {
    crate::{
        connection::{HttpRequest, HttpResponse, Problem},
        prelude::*,
        process::{
            clock::with_timeout,
            entry::Entry,
            state::{JobEnd, JobRecord, JobState, RecordBody},
        },
        request::{
            JobError, JobSubmission,
            api::job_explanation::{explain, is_placed},
            submit_job,
        },
        version::Account,
    },
    hyper::Method,
    serde::Serialize,
};

/// The retry delay in responses while the log is unavailable or the account has too many jobs.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The maximum time that one request waits for the end of a job.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The JSON representation of a job for its account.
#[derive(Debug, Serialize)]
struct JobView {
    id: String,
    kind: KindName,
    status: String,
    /// Whether the job's gang is placed now, as far as this entry knows.
    #[serde(rename = "placed")]
    is_placed: bool,
    accepted_ms: u64,
    owner: EntryName,
    #[serde(skip_serializing_if = "Option::is_none")]
    failure: Option<String>,
}

impl JobView {
    fn of(
        entry: &Entry,
        job: &JobState,
    ) -> Self {
        let failure = match &job.end {
            Some(JobEnd::Failed(reason)) => Some(reason.clone()),
            _ => None,
        };
        Self {
            id: job.spec.id.to_string(),
            kind: job.spec.kind.clone(),
            status: job.status().to_string(),
            is_placed: job.is_open() && is_placed(entry, job),
            accepted_ms: job.spec.accepted_ms,
            owner: job.owner.clone(),
            failure,
        }
    }
}

/// Handles the requests under `/v1/jobs`.
pub(super) async fn answer_jobs(
    entry: &Rc<Entry>,
    req: &HttpRequest,
    account: &Account,
    path: &[&str],
) -> HttpResponse {
    match (&req.method, path) {
        (&Method::POST, []) => submit(entry, req, account).await,
        (&Method::GET, []) => list_jobs(entry, account),
        (&Method::GET, [id]) => match wait_for_end(entry, req, account, id).await {
            Some(job) => HttpResponse::json(200, &JobView::of(entry, &job)),
            None => Problem::not_found().into(),
        },
        (&Method::GET, [id, "explain"]) => match find_job(entry, account, id) {
            Some(job) => HttpResponse::json(200, &explain(entry, &job)),
            None => Problem::not_found().into(),
        },
        (&Method::GET, [id, "result"]) => match find_job(entry, account, id) {
            Some(job) => encode_result(&job),
            None => Problem::not_found().into(),
        },
        (&Method::DELETE, [id]) => match find_job(entry, account, id) {
            Some(job) => cancel(entry, &job).await,
            None => Problem::not_found().into(),
        },
        _ => Problem::not_found().into(),
    }
}

async fn submit(
    entry: &Rc<Entry>,
    req: &HttpRequest,
    account: &Account,
) -> HttpResponse {
    let submission: JobSubmission = match serde_json::from_slice(&req.body) {
        Ok(submission) => submission,
        Err(e) => return Problem::new(400, "bad-job", e).into(),
    };
    match submit_job(entry, &account.name, submission).await {
        Ok(id) => {
            let location = format!("/v1/jobs/{id}");
            let body = serde_json::json!({ "id": id.to_string() });
            HttpResponse::json(201, &body).with_header("location", location)
        }
        Err(e) => encode_error(&e),
    }
}

fn encode_error(e: &JobError) -> HttpResponse {
    match e {
        JobError::UnknownKind(_) => Problem::new(404, "unknown-kind", e).into(),
        JobError::OverQuota { .. } | JobError::NeverFits { .. } => {
            Problem::new(422, "never-runs", e).into()
        }
        JobError::TooManyJobs(_) => Problem::new(429, "too-many-jobs", e)
            .retry_after(RETRY_AFTER)
            .into(),
        JobError::State(_) => Problem::new(503, "log", e).retry_after(RETRY_AFTER).into(),
    }
}

fn list_jobs(
    entry: &Entry,
    account: &Account,
) -> HttpResponse {
    let fold = entry.state.fold();
    let own = fold.jobs().filter(|j| j.spec.account == account.name);
    let views: Vec<JobView> = own.map(|j| JobView::of(entry, j)).collect();
    HttpResponse::json(200, &views)
}

/// Waits until a job has ended, for at most the request's `wait_ms`, and returns it.
async fn wait_for_end(
    entry: &Entry,
    req: &HttpRequest,
    account: &Account,
    id: &str,
) -> Option<JobState> {
    let wait = req.query("wait_ms").and_then(|v| v.parse().ok());
    let wait = Duration::from_millis(wait.unwrap_or_default()).min(MAX_WAIT);
    let wait_until_ended = async {
        loop {
            let changed = entry.state.change_listener();
            if !find_job(entry, account, id).is_some_and(|j| j.is_open()) {
                return;
            }
            changed.await;
        }
    };
    with_timeout(&*entry.clock, wait, wait_until_ended).await;
    find_job(entry, account, id)
}

/// Returns a job of the account; `None` for an unknown ID or a job of another account.
fn find_job(
    entry: &Entry,
    account: &Account,
    id: &str,
) -> Option<JobState> {
    let id = id.parse().ok()?;
    let job = entry.state.fold().job(id).cloned()?;
    (job.spec.account == account.name).then_some(job)
}

fn encode_result(job: &JobState) -> HttpResponse {
    match &job.end {
        Some(JobEnd::Finished(result)) => {
            HttpResponse::new(200, "application/octet-stream", result.clone())
        }
        Some(JobEnd::Failed(reason)) => Problem::new(410, "job-failed", reason).into(),
        Some(JobEnd::Cancelled) => Problem::new(410, "job-cancelled", "cancelled").into(),
        None => Problem::new(409, "job-open", "the job has not ended").into(),
    }
}

async fn cancel(
    entry: &Entry,
    job: &JobState,
) -> HttpResponse {
    let record = RecordBody::Job(JobRecord::Cancelled { job: job.spec.id });
    match entry.state.append(record).await {
        Ok(()) => HttpResponse::json(202, &serde_json::json!({ "id": job.spec.id.to_string() })),
        Err(e) => Problem::new(503, "log", e).retry_after(RETRY_AFTER).into(),
    }
}
