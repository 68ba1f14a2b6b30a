//! The API for callers' requests.

use {
    crate::{
        connection::{HttpRequest, HttpResponse, Problem},
        prelude::*,
        process::entry::Entry,
        request::{CallerRequest, KeyConflict, Outcome, run_request},
        version::{Account, RequestKind},
    },
    hyper::Method,
};

/// The header for the time that the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The header for the key that identifies retries of a request.
const KEY_HEADER: &str = "idempotency-key";

/// The limit on the length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The retry delay in responses while an earlier request with the same key is in progress.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs one request and returns its outcome.
pub(super) async fn answer_request(
    entry: &Rc<Entry>,
    req: &HttpRequest,
    account: &Account,
    kind: &str,
) -> HttpResponse {
    if req.method != Method::POST {
        return Problem::new(405, "method", "requests are sent by POST").into();
    }
    let document = entry.document();
    let Some(kind) = document.request_kinds.get(&kind.into()) else {
        return Problem::not_found().into();
    };
    let deadline = match read_deadline(req, account, kind) {
        Ok(deadline) => deadline,
        Err(problem) => return problem.into(),
    };
    let key = match read_key(req) {
        Ok(key) => key,
        Err(problem) => return problem.into(),
    };
    let id = entry.ids.request_id();
    let call = CallerRequest {
        id,
        account: account.name.clone(),
        kind: kind.clone(),
        body: req.body.clone(),
        deadline,
        idempotency_key: key,
    };
    let outcome = run_request(entry, &call).await;
    count_outcome(entry, &outcome);
    encode_outcome(outcome).with_header("x-request-id", id)
}

/// Returns the time until the request's deadline: the time in the header, limited by the account
/// and the request kind.
fn read_deadline(
    req: &HttpRequest,
    account: &Account,
    kind: &RequestKind,
) -> Result<Duration, Problem> {
    let max_wait = account.max_wait + kind.timeout;
    let Some(text) = req.header(DEADLINE_HEADER) else {
        return Ok(max_wait);
    };
    let millis = text.parse().ok().filter(|ms| *ms > 0);
    let millis = millis.ok_or_else(|| {
        Problem::new(
            400,
            "deadline",
            "x-deadline-ms takes a whole number of milliseconds",
        )
    })?;
    Ok(Duration::from_millis(millis).min(max_wait))
}

fn encode_outcome(outcome: Outcome) -> HttpResponse {
    match outcome {
        Outcome::Answered { status, body } => {
            HttpResponse::new(status, "application/octet-stream", body)
        }
        Outcome::NotRun(reason) => {
            let status = if reason.is_over_limit() { 429 } else { 503 };
            Problem::new(status, "not-run", reason)
                .retry_after(reason.retry_after())
                .into()
        }
        Outcome::Conflict(conflict) => encode_conflict(conflict),
        Outcome::Unknown => {
            let detail = "the request may have run, but its answer was lost";
            Problem::new(504, "unknown", detail).into()
        }
    }
}

fn encode_conflict(conflict: KeyConflict) -> HttpResponse {
    match conflict {
        KeyConflict::DifferentContent => Problem::new(422, "key-reused", conflict).into(),
        KeyConflict::InProgress => Problem::new(409, "in-progress", conflict)
            .retry_after(RETRY_AFTER)
            .into(),
        KeyConflict::AnswerNotStored { .. } => Problem::new(409, "answered", conflict).into(),
    }
}

/// Returns the idempotency key of the request, if any.
fn read_key(req: &HttpRequest) -> Result<Option<Arc<str>>, Problem> {
    let Some(key) = req.headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = key
        .to_str()
        .ok()
        .filter(|k| !k.is_empty() && k.len() <= MAX_KEY_BYTES);
    let detail = "idempotency-key takes 1 to 128 visible characters";
    let key = key.ok_or_else(|| Problem::new(400, "idempotency-key", detail))?;
    Ok(Some(Arc::from(key)))
}

fn count_outcome(
    entry: &Entry,
    outcome: &Outcome,
) {
    let label = match outcome {
        Outcome::Answered { .. } => "answered",
        Outcome::NotRun(_) => "not_run",
        Outcome::Unknown => "unknown",
        Outcome::Conflict(_) => "conflict",
    };
    entry.metrics.requests.with_label_values(&[label]).inc();
    if let Outcome::NotRun(reason) = outcome {
        let not_run = &entry.metrics.requests_not_run;
        not_run.with_label_values(&[reason.label()]).inc();
    }
}
