//! The document: read it, submit another one, see what was before, and return to it.

use {
    super::{authority::log_problem, guarantees::check_guarantees, page::answer_page},
    crate::{
        connection::{HttpReply, HttpRequest, Problem},
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

/// The lines around a change that a diff shows.
const DIFF_CONTEXT: usize = 3;

/// A version in the history.
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

/// What a return to an earlier text names.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Revert {
    /// The version whose text is to be in force again.
    to: VersionNumber,
    /// The version that is in force, as the operator knows it.
    follows: VersionNumber,
}

/// Answers with the document in force, or with a kept version.
pub(super) fn get_document(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpReply {
    let fold = entry.state.fold();
    let version = match req.query("version").map(str::parse) {
        None => fold.version(),
        Some(Ok(version)) => VersionNumber(version),
        Some(Err(_)) => return Problem::new(400, "version", "expected a version number").into(),
    };
    match fold.documents().get(version) {
        Some(v) => HttpReply::text(200, &v.text).with_header("etag", format!("\"{version}\"")),
        None => missing_version(version).into(),
    }
}

/// Lists the kept versions.
pub(super) fn list_history(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpReply {
    let fold = entry.state.fold();
    let views = fold.documents().history().map(VersionView::of).collect();
    answer_page(req, views, |v: &VersionView| format!("{:020}", v.version.0))
}

/// Answers with the difference between two kept versions, `from` and `to`.
pub(super) fn diff(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpReply {
    let fold = entry.state.fold();
    let asked = |name| req.query(name).and_then(|v| v.parse().ok());
    let to = asked("to").map_or(fold.version(), VersionNumber);
    let before = VersionNumber(to.0.saturating_sub(1));
    let from = asked("from").map_or(before, VersionNumber);
    let empty = Arc::from("");
    let text_of = |v: VersionNumber| match fold.documents().get(v) {
        Some(accepted) => Ok(accepted.text.clone()),
        None if v == VersionNumber::default() => Ok(Arc::clone(&empty)),
        None => Err(missing_version(v)),
    };
    match (text_of(from), text_of(to)) {
        (Ok(old), Ok(new)) => HttpReply::text(200, &unified_diff(&old, &new, from, to)),
        (Err(problem), _) | (_, Err(problem)) => problem.into(),
    }
}

/// Submits the document of the body, which follows the version that `If-Match` names.
pub(super) async fn put_document(
    entry: &Entry,
    req: &HttpRequest,
    operator: &OperatorName,
) -> HttpReply {
    let Some(follows) = read_if_match(req) else {
        let detail = "If-Match has to name the version that the document follows, such as \"3\"";
        return Problem::new(428, "if-match", detail).into();
    };
    let Ok(text) = std::str::from_utf8(&req.body) else {
        return Problem::new(400, "bad-document", "the document is not UTF-8").into();
    };
    submit(entry, operator, follows, text.into()).await
}

/// Submits the text of an earlier version again, as a new version.
pub(super) async fn revert(
    entry: &Entry,
    req: &HttpRequest,
    operator: &OperatorName,
) -> HttpReply {
    let revert: Revert = match serde_json::from_slice(&req.body) {
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

/// Checks a text, records it and answers whether it was accepted where it stands on the log.
async fn submit(
    entry: &Entry,
    operator: &OperatorName,
    follows: VersionNumber,
    text: Arc<str>,
) -> HttpReply {
    let document = match Document::parse("document", &text) {
        Ok(document) => document,
        Err(faults) => {
            let problem = Problem::new(422, "bad-document", "the document has faults");
            return problem
                .with_extra(json!({ "faults": faults.faults }))
                .into();
        }
    };
    let in_force = entry.state.fold().version();
    if in_force > follows {
        return conflict(entry, follows, &text).into();
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
            tracing::info!(%version, %operator, "a document was accepted");
            HttpReply::json(200, &json!({ "version": version }))
        }
        Ok(_) => conflict(entry, follows, &text).into(),
        Err(e) => log_problem(e, "/v1/admin/document/history").into(),
    }
}

/// Returns the answer to a document that follows another version than the one in force, with what
/// it would change there.
fn conflict(
    entry: &Entry,
    follows: VersionNumber,
    text: &str,
) -> Problem {
    let fold = entry.state.fold();
    let in_force = fold.version();
    let by = fold.documents().get(in_force).map(|v| v.operator.clone());
    let document = fold.document().text.clone();
    let detail = format!("version {in_force} is in force, not {follows}");
    Problem::new(412, "conflict", detail).with_extra(json!({
        "in_force": in_force,
        "submitted_by": by,
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
