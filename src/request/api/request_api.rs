//! Requests of callers.

use {
    crate::{
        connection::{HttpReply, HttpRequest, Problem},
        prelude::*,
        process::entry::Entry,
        request::{CallerRequest, KeyConflict, Outcome, run_request},
        version::{Account, RequestKind},
    },
    hyper::Method,
};

/// The header in which a caller states how long it waits, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The header in which a caller names the key under which it sends a request again.
const KEY_HEADER: &str = "idempotency-key";

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The pause that a caller is told to make while its earlier request is in progress.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs one request and answers with its outcome.
pub(super) async fn answer_request(
    entry: &Rc<Entry>,
    req: &HttpRequest,
    account: &Account,
    kind: &str,
) -> HttpReply {
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

/// Returns how long the caller waits: what it states, up to what its account and kind allow.
fn read_deadline(
    req: &HttpRequest,
    account: &Account,
    kind: &RequestKind,
) -> Result<Duration, Problem> {
    let longest = account.max_wait + kind.timeout;
    let Some(text) = req.header(DEADLINE_HEADER) else {
        return Ok(longest);
    };
    let millis = text.parse().ok().filter(|ms| *ms > 0);
    let millis = millis.ok_or_else(|| {
        Problem::new(
            400,
            "deadline",
            "x-deadline-ms takes a whole number of milliseconds",
        )
    })?;
    Ok(Duration::from_millis(millis).min(longest))
}

fn encode_outcome(outcome: Outcome) -> HttpReply {
    match outcome {
        Outcome::Answered { status, body } => {
            HttpReply::new(status, "application/octet-stream", body)
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

fn encode_conflict(conflict: KeyConflict) -> HttpReply {
    match conflict {
        KeyConflict::DifferentContent => Problem::new(422, "key-reused", conflict).into(),
        KeyConflict::InProgress => Problem::new(409, "in-progress", conflict)
            .retry_after(RETRY_AFTER)
            .into(),
        KeyConflict::AnswerNotStored { .. } => Problem::new(409, "answered", conflict).into(),
    }
}

/// Returns the idempotency key that the caller names.
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
