//! Administration by operators.

use {
    super::guarantee_api::check_guarantees,
    crate::{
        connection::{HttpReply, HttpRequest, Problem},
        prelude::*,
        process::{
            entry::Entry,
            state::{DocumentRecord, RecordBody},
        },
        version::{Operator, Role},
    },
    hyper::Method,
    serde_json::json,
};

/// The pause that an operator is told to make while the log is away.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Answers the paths under `/v1/admin`.
pub(super) async fn answer_admin(
    entry: &Entry,
    req: &HttpRequest,
    path: &[&str],
) -> HttpReply {
    match (&req.method, path) {
        (&Method::GET, ["document"]) => match authorise(entry, req, Role::Read) {
            Ok(_) => get_document(entry),
            Err(problem) => problem.into(),
        },
        (&Method::PUT, ["document"]) => match authorise(entry, req, Role::Configure) {
            Ok(operator) => put_document(entry, req, &operator).await,
            Err(problem) => problem.into(),
        },
        (&Method::GET, ["upstreams"]) => match authorise(entry, req, Role::Read) {
            Ok(_) => list_upstreams(entry),
            Err(problem) => problem.into(),
        },
        _ => Problem::not_found().into(),
    }
}

/// Returns the operator whose key the request shows, when it has the role.
pub(super) fn authorise(
    entry: &Entry,
    req: &HttpRequest,
    role: Role,
) -> Result<Operator, Problem> {
    let key = req.bearer_key().ok_or_else(Problem::unauthorized)?;
    let document = entry.document();
    let operator = document.operator_of_key(key).cloned();
    let operator = operator.ok_or_else(Problem::unauthorized)?;
    if operator.roles.contains(&role) {
        return Ok(operator);
    }
    let detail = format!("{} does not have the role {role}", operator.name);
    Err(Problem::new(403, "role", detail))
}

fn get_document(entry: &Entry) -> HttpReply {
    let fold = entry.state.fold();
    let text = fold.document().text.clone();
    HttpReply::text(200, &text).with_header("etag", format!("\"{}\"", fold.version()))
}

async fn put_document(
    entry: &Entry,
    req: &HttpRequest,
    operator: &Operator,
) -> HttpReply {
    let Some(follows) = read_if_match(req) else {
        let detail = "If-Match has to name the version that the document follows, such as \"3\"";
        return Problem::new(428, "if-match", detail).into();
    };
    let Ok(text) = std::str::from_utf8(&req.body) else {
        return Problem::new(400, "bad-document", "the document is not UTF-8").into();
    };
    let document = match Document::parse("document", text) {
        Ok(document) => document,
        Err(faults) => {
            let extra = json!({ "faults": faults.faults });
            return Problem::new(422, "bad-document", "the document has faults")
                .with_extra(extra)
                .into();
        }
    };
    if let Err(problem) = check_guarantees(entry, &document) {
        return problem.into();
    }
    let record = RecordBody::Document(DocumentRecord {
        follows,
        text: Arc::from(text),
        operator: operator.name.clone(),
        submitted_ms: entry.clock.wall().0,
    });
    match entry.state.append_keyed(record).await {
        Ok(key) => match entry.state.fold().accepted_as(key) {
            Some(version) => HttpReply::json(200, &json!({ "version": version })),
            None => {
                let now = entry.state.fold().version();
                let detail = format!("version {now} is in force, not {follows}");
                Problem::new(412, "conflict", detail).into()
            }
        },
        Err(e) => Problem::new(503, "log", e).retry_after(RETRY_AFTER).into(),
    }
}

/// Returns the version that the `If-Match` header names.
fn read_if_match(req: &HttpRequest) -> Option<VersionNumber> {
    let text = req.header("if-match")?.trim_matches('"');
    text.parse().ok().map(VersionNumber)
}

fn list_upstreams(entry: &Entry) -> HttpReply {
    let live = entry.members.borrow().live(entry.clock.now());
    let views: Vec<_> = live
        .iter()
        .map(|u| {
            json!({
                "upstream": u.upstream,
                "region": u.region,
                "data_centre": u.data_centre,
                "rack": u.rack,
                "serving": u.serving,
                "slots": u.slots,
                "slots_in_use": u.slots_in_use,
                "accelerators": u.accelerators.len(),
                "accelerators_free": u.accelerators_free.len(),
                "version": u.version,
            })
        })
        .collect();
    HttpReply::json(200, &views)
}
