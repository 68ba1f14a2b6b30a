//! The jobs of all accounts, for operators.

use {
    super::{authority::audit, page::answer_page},
    crate::{
        connection::{HttpRequest, HttpResponse, Problem},
        prelude::*,
        process::{
            entry::Entry,
            state::{JobRecord, JobState, JobStatus, RecordBody, StateError},
        },
    },
    futures_util::future::join_all,
    serde::{Deserialize, Serialize},
    serde_json::json,
};

/// The retry delay in responses while the log is unavailable.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// The JSON representation of a job for operators.
#[derive(Serialize)]
struct JobView {
    id: String,
    account: AccountName,
    kind: KindName,
    status: JobStatus,
    owner: EntryName,
    ownership: u32,
    accepted_ms: u64,
}

impl JobView {
    fn of(job: &JobState) -> Self {
        Self {
            id: job.spec.id.to_string(),
            account: job.spec.account.clone(),
            kind: job.spec.kind.clone(),
            status: job.status(),
            owner: job.owner.clone(),
            ownership: job.ownership,
            accepted_ms: job.spec.accepted_ms,
        }
    }
}

/// A filter for jobs; an absent field matches every job.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct JobFilter {
    account: Option<AccountName>,
    kind: Option<KindName>,
    status: Option<String>,
    owner: Option<EntryName>,
}

impl JobFilter {
    fn of_query(req: &HttpRequest) -> Self {
        Self {
            account: req.query("account").map(Into::into),
            kind: req.query("kind").map(Into::into),
            status: req.query("status").map(str::to_owned),
            owner: req.query("owner").map(Into::into),
        }
    }

    fn is_empty(&self) -> bool {
        self.account.is_none()
            && self.kind.is_none()
            && self.status.is_none()
            && self.owner.is_none()
    }

    fn matches(
        &self,
        job: &JobState,
    ) -> bool {
        let status = job.status().to_string();
        self.account.as_ref().is_none_or(|a| *a == job.spec.account)
            && self.kind.as_ref().is_none_or(|k| *k == job.spec.kind)
            && self.status.as_ref().is_none_or(|s| *s == status)
            && self.owner.as_ref().is_none_or(|o| *o == job.owner)
    }
}

/// The body of a request to cancel jobs or to preview the cancellation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename = "CancelMany")]
struct CancelRequest {
    filter: JobFilter,
    /// Whether to list the matching jobs without cancelling them.
    #[serde(default, rename = "preview")]
    is_preview: bool,
    /// The number of jobs that the preview listed. If another number matches now, none is
    /// cancelled.
    #[serde(rename = "expected")]
    expected_count: Option<usize>,
}

/// Lists the jobs that match the query, by ID.
pub(super) fn list_jobs(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpResponse {
    let filter = JobFilter::of_query(req);
    let fold = entry.state.fold();
    let matching = fold.jobs().filter(|j| filter.matches(j));
    let views = matching.map(JobView::of).collect();
    answer_page(req, views, |v: &JobView| v.id.clone())
}

/// Returns one job.
pub(super) fn get_job(
    entry: &Entry,
    id: &str,
) -> HttpResponse {
    match find_job(entry, id) {
        Some(job) => HttpResponse::json(200, &JobView::of(&job)),
        None => Problem::not_found().into(),
    }
}

/// Returns why a job waits or where it runs. Only the entry that owns an open job can tell; others
/// refer to it.
pub(super) fn explain_job(
    entry: &Entry,
    id: &str,
) -> HttpResponse {
    let Some(job) = find_job(entry, id) else {
        return Problem::not_found().into();
    };
    if !job.is_open() {
        return HttpResponse::json(200, &json!({ "status": job.status() }));
    }
    match entry.scheduler.explain(job.spec.id) {
        Some(explanation) => HttpResponse::json(200, &explanation),
        None => {
            let detail = format!("{} owns the job; request the explanation there", job.owner);
            let extra = json!({ "owner": job.owner });
            Problem::new(409, "other-owner", detail)
                .with_extensions(extra)
                .into()
        }
    }
}

/// Cancels the open jobs that match a filter, or lists them for a preview.
pub(super) async fn cancel_many(
    entry: &Entry,
    req: &HttpRequest,
    operator: &OperatorName,
) -> HttpResponse {
    let cancel: CancelRequest = match serde_json::from_slice(&req.body) {
        Ok(cancel) => cancel,
        Err(e) => return Problem::new(400, "bad-filter", e).into(),
    };
    if cancel.filter.is_empty() {
        let detail = "the filter has to name an account, kind, status or owner";
        return Problem::new(400, "bad-filter", detail).into();
    }
    let jobs = open_jobs(entry, &cancel.filter);
    let views: Vec<JobView> = jobs.iter().map(JobView::of).collect();
    if cancel.is_preview {
        let body = json!({ "matching": jobs.len(), "jobs": views });
        return HttpResponse::json(200, &body);
    }
    if cancel.expected_count.is_some_and(|n| n != jobs.len()) {
        let detail = format!("{} jobs match now; nothing was cancelled", jobs.len());
        return Problem::new(409, "changed", detail).into();
    }
    let action = format!("cancel {} jobs by {:?}", jobs.len(), cancel.filter);
    if let Err(e) = audit(entry, operator, action).await {
        return Problem::new(503, "log", e).retry_after(RETRY_AFTER).into();
    }
    record_cancellations(entry, &jobs).await
}

async fn record_cancellations(
    entry: &Entry,
    jobs: &[JobState],
) -> HttpResponse {
    let records = jobs
        .iter()
        .map(|j| RecordBody::Job(JobRecord::Cancelled { job: j.spec.id }));
    let results = join_all(records.map(|r| entry.state.append(r))).await;
    let count = |wanted: Result<(), StateError>| results.iter().filter(|r| **r == wanted).count();
    let body = json!({
        "cancelled": count(Ok(())),
        "not_recorded": count(Err(StateError::NotRecorded)),
        "unknown": count(Err(StateError::Unknown)),
    });
    if count(Ok(())) == jobs.len() {
        return HttpResponse::json(200, &body);
    }
    let detail = "not every cancellation is known to be recorded";
    Problem::new(503, "log", detail)
        .with_extensions(body)
        .retry_after(RETRY_AFTER)
        .into()
}

fn open_jobs(
    entry: &Entry,
    filter: &JobFilter,
) -> Vec<JobState> {
    let fold = entry.state.fold();
    let matching = fold.jobs().filter(|j| j.is_open() && filter.matches(j));
    matching.cloned().collect()
}

fn find_job(
    entry: &Entry,
    id: &str,
) -> Option<JobState> {
    entry.state.fold().job(id.parse().ok()?).cloned()
}
