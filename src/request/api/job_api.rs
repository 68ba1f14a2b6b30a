//! Jobs of accounts.

use {
    crate::{
        connection::{HttpReply, HttpRequest, Problem},
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

/// The pause that a caller is told to make while the log is away.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The longest wait for the end of a job in one request.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A job as its account sees it.
#[derive(Debug, Serialize)]
struct JobView {
    id: String,
    kind: KindName,
    status: String,
    /// Whether its gang has a place now, as far as this entry knows.
    placed: bool,
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
            placed: job.is_open() && is_placed(entry, job),
            accepted_ms: job.spec.accepted_ms,
            owner: job.owner.clone(),
            failure,
        }
    }
}

/// Answers the paths under `/v1/jobs`.
pub(super) async fn answer_jobs(
    entry: &Rc<Entry>,
    req: &HttpRequest,
    account: &Account,
    path: &[&str],
) -> HttpReply {
    match (&req.method, path) {
        (&Method::POST, []) => submit(entry, req, account).await,
        (&Method::GET, []) => list(entry, account),
        (&Method::GET, [id]) => match wait_for(entry, req, account, id).await {
            Some(job) => HttpReply::json(200, &JobView::of(entry, &job)),
            None => Problem::not_found().into(),
        },
        (&Method::GET, [id, "explain"]) => match find(entry, account, id) {
            Some(job) => HttpReply::json(200, &explain(entry, &job)),
            None => Problem::not_found().into(),
        },
        (&Method::GET, [id, "result"]) => match find(entry, account, id) {
            Some(job) => result_of(&job),
            None => Problem::not_found().into(),
        },
        (&Method::DELETE, [id]) => match find(entry, account, id) {
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
) -> HttpReply {
    let submission: JobSubmission = match serde_json::from_slice(&req.body) {
        Ok(submission) => submission,
        Err(e) => return Problem::new(400, "bad-job", e).into(),
    };
    match submit_job(entry, &account.name, submission).await {
        Ok(id) => {
            let location = format!("/v1/jobs/{id}");
            let body = serde_json::json!({ "id": id.to_string() });
            HttpReply::json(201, &body).with_header("location", location)
        }
        Err(e) => encode_error(&e),
    }
}

fn encode_error(e: &JobError) -> HttpReply {
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

fn list(
    entry: &Entry,
    account: &Account,
) -> HttpReply {
    let fold = entry.state.fold();
    let own = fold.jobs().filter(|j| j.spec.account == account.name);
    let views: Vec<JobView> = own.map(|j| JobView::of(entry, j)).collect();
    HttpReply::json(200, &views)
}

/// Waits until a job has ended, for as long as the request's `wait_ms` says, and returns it.
async fn wait_for(
    entry: &Entry,
    req: &HttpRequest,
    account: &Account,
    id: &str,
) -> Option<JobState> {
    let wait = req.query("wait_ms").and_then(|v| v.parse().ok());
    let wait = Duration::from_millis(wait.unwrap_or_default()).min(MAX_WAIT);
    let ended = async {
        loop {
            let changed = entry.state.change_listener();
            if !find(entry, account, id).is_some_and(|j| j.is_open()) {
                return;
            }
            changed.await;
        }
    };
    with_timeout(&*entry.clock, wait, ended).await;
    find(entry, account, id)
}

/// Finds a job of the account; another account's job is not found.
fn find(
    entry: &Entry,
    account: &Account,
    id: &str,
) -> Option<JobState> {
    let id = id.parse().ok()?;
    let job = entry.state.fold().job(id).cloned()?;
    (job.spec.account == account.name).then_some(job)
}

fn result_of(job: &JobState) -> HttpReply {
    match &job.end {
        Some(JobEnd::Finished(result)) => {
            HttpReply::new(200, "application/octet-stream", result.clone())
        }
        Some(JobEnd::Failed(reason)) => Problem::new(410, "job-failed", reason).into(),
        Some(JobEnd::Cancelled) => Problem::new(410, "job-cancelled", "cancelled").into(),
        None => Problem::new(409, "job-open", "the job has not ended").into(),
    }
}

async fn cancel(
    entry: &Entry,
    job: &JobState,
) -> HttpReply {
    let record = RecordBody::Job(JobRecord::Cancelled { job: job.spec.id });
    match entry.state.append(record).await {
        Ok(()) => HttpReply::json(202, &serde_json::json!({ "id": job.spec.id.to_string() })),
        Err(e) => Problem::new(503, "log", e).retry_after(RETRY_AFTER).into(),
    }
}
