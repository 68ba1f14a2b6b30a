//! The document: its versions, their differences, the submission of a new version and the revert to
//! an earlier one.

use {
    super::{authority::log_problem, guarantees::check_guarantees, page::answer_page},
    crate::{
        connection::{HttpRequest, HttpResponse, Problem},
        prelude::*,
        process::{
            entry::Entry,
            state::{AcceptedVersion, DocumentRecord, RecordBody, RecordOutcome},
        },
    },
    serde::{Deserialize, Serialize},
    serde_json::json,
    similar::TextDiff,
};

/// The number of context lines around a change in a diff.
const DIFF_CONTEXT: usize = 3;

/// The JSON representation of a version in the history.
#[derive(Serialize)]
struct VersionView {
    version: VersionNumber,
    operator: OperatorName,
    accepted_ms: u64,
    bytes: usize,
}

impl VersionView {
    fn of(accepted: &AcceptedVersion) -> Self {
        Self {
            version: accepted.version,
            operator: accepted.operator.clone(),
            accepted_ms: accepted.accepted_ms,
            bytes: accepted.text.len(),
        }
    }
}

/// The body of a request to revert to an earlier text.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename = "Revert")]
struct RevertRequest {
    /// The version whose text is submitted again.
    to: VersionNumber,
    /// The version that the operator expects to be in force.
    follows: VersionNumber,
}

/// Returns the document in force, or the retained version that the query names.
pub(super) fn get_document(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpResponse {
    let fold = entry.state.fold();
    let version = match req.query("version").map(str::parse) {
        None => fold.version(),
        Some(Ok(version)) => VersionNumber(version),
        Some(Err(_)) => return Problem::new(400, "version", "expected a version number").into(),
    };
    match fold.documents().get(version) {
        Some(v) => HttpResponse::text(200, &v.text).with_header("etag", format!("\"{version}\"")),
        None => missing_version(version).into(),
    }
}

/// Lists the retained versions.
pub(super) fn list_history(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpResponse {
    let fold = entry.state.fold();
    let views = fold.documents().history().map(VersionView::of).collect();
    answer_page(req, views, |v: &VersionView| format!("{:020}", v.version.0))
}

/// Returns the difference between two retained versions, `from` and `to`. By default, `to` is the
/// version in force and `from` is the version before `to`.
pub(super) fn diff(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpResponse {
    let fold = entry.state.fold();
    let version_param = |name| req.query(name).and_then(|v| v.parse().ok());
    let to = version_param("to").map_or(fold.version(), VersionNumber);
    let previous = VersionNumber(to.0.saturating_sub(1));
    let from = version_param("from").map_or(previous, VersionNumber);
    let empty = Arc::from("");
    let text_of = |v: VersionNumber| match fold.documents().get(v) {
        Some(accepted) => Ok(accepted.text.clone()),
        None if v == VersionNumber::default() => Ok(Arc::clone(&empty)),
        None => Err(missing_version(v)),
    };
    match (text_of(from), text_of(to)) {
        (Ok(old), Ok(new)) => HttpResponse::text(200, &unified_diff(&old, &new, from, to)),
        (Err(problem), _) | (_, Err(problem)) => problem.into(),
    }
}

/// Submits the document in the body as the successor of the version in `If-Match`.
pub(super) async fn put_document(
    entry: &Entry,
    req: &HttpRequest,
    operator: &OperatorName,
) -> HttpResponse {
    let Some(follows) = read_if_match(req) else {
        let detail = "If-Match has to name the version that the document follows, such as \"3\"";
        return Problem::new(428, "if-match", detail).into();
    };
    let Ok(text) = std::str::from_utf8(&req.body) else {
        return Problem::new(400, "bad-document", "the document is not UTF-8").into();
    };
    submit(entry, operator, follows, text.into()).await
}

/// Submits the text of an earlier version as a new version.
pub(super) async fn revert(
    entry: &Entry,
    req: &HttpRequest,
    operator: &OperatorName,
) -> HttpResponse {
    let revert: RevertRequest = match serde_json::from_slice(&req.body) {
        Ok(revert) => revert,
        Err(e) => return Problem::new(400, "bad-revert", e).into(),
    };
    let text = entry
        .state
        .fold()
        .documents()
        .get(revert.to)
        .map(|v| v.text.clone());
    match text {
        Some(text) => submit(entry, operator, revert.follows, text).await,
        None => missing_version(revert.to).into(),
    }
}

/// Validates a document, appends it to the log and returns whether it was accepted: that depends on
/// the version in force at its position on the log.
async fn submit(
    entry: &Entry,
    operator: &OperatorName,
    follows: VersionNumber,
    text: Arc<str>,
) -> HttpResponse {
    let document = match Document::parse("document", &text) {
        Ok(document) => document,
        Err(faults) => {
            let problem = Problem::new(422, "bad-document", "the document has faults");
            return problem
                .with_extensions(json!({ "faults": faults.faults }))
                .into();
        }
    };
    let in_force = entry.state.fold().version();
    if in_force > follows {
        return conflict_problem(entry, follows, &text).into();
    }
    if let Err(problem) = check_guarantees(entry, &document) {
        return problem.into();
    }
    let record = RecordBody::Document(DocumentRecord {
        follows,
        text: text.clone(),
        operator: operator.clone(),
        submitted_ms: entry.clock.wall_time().0,
    });
    match entry.state.append_for_outcome(record).await {
        Ok(RecordOutcome::Accepted(version)) => {
            tracing::info!(%version, %operator, "document accepted");
            HttpResponse::json(200, &json!({ "version": version }))
        }
        Ok(_) => conflict_problem(entry, follows, &text).into(),
        Err(e) => log_problem(e, "/v1/admin/document/history").into(),
    }
}

/// Returns the problem for a document that does not follow the version in force, with the diff from
/// that version to the document.
fn conflict_problem(
    entry: &Entry,
    follows: VersionNumber,
    text: &str,
) -> Problem {
    let fold = entry.state.fold();
    let in_force = fold.version();
    let submitted_by = fold.documents().get(in_force).map(|v| v.operator.clone());
    let document = fold.document().text.clone();
    let detail = format!("version {in_force} is in force, not {follows}");
    Problem::new(412, "conflict", detail).with_extensions(json!({
        "in_force": in_force,
        "submitted_by": submitted_by,
        "diff": unified_diff(&document, text, in_force, follows.next()),
    }))
}

fn unified_diff(
    old: &str,
    new: &str,
    from: VersionNumber,
    to: VersionNumber,
) -> String {
    let diff = TextDiff::from_lines(old, new);
    let mut unified = diff.unified_diff();
    let from = format!("version {from}");
    let to = format!("version {to}");
    unified
        .context_radius(DIFF_CONTEXT)
        .header(&from, &to)
        .to_string()
}

fn missing_version(version: VersionNumber) -> Problem {
    let detail = format!("version {version} is not kept");
    Problem::new(404, "no-version", detail)
}

/// Returns the version that the `If-Match` header names.
fn read_if_match(req: &HttpRequest) -> Option<VersionNumber> {
    let text = req.header("if-match")?.trim_matches('"');
    text.parse().ok().map(VersionNumber)
}
