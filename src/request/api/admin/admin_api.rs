//! The routes under `/v1/admin`.

use {
    super::{
        accounts::list_accounts,
        authority::authorise,
        documents::{diff, get_document, list_history, put_document, revert},
        guarantees::list_guarantees,
        jobs::{cancel_many, explain_job, get_job, list_jobs},
        log_status::{list_audit, list_entries, show_log},
        readers::list_readers,
        upstreams::{list_upstreams, set_drained},
    },
    crate::{
        connection::{HttpRequest, HttpResponse, Problem},
        prelude::*,
        process::entry::Entry,
        version::Role,
    },
    hyper::Method,
};

/// Handles a request of an operator.
pub(crate) async fn answer_admin(
    entry: &Entry,
    req: &HttpRequest,
    path: &[&str],
) -> HttpResponse {
    let Some(role) = required_role(&req.method, path) else {
        return Problem::not_found().into();
    };
    match authorise(entry, req, role) {
        Ok(_) if path == ["log", "readers"] => list_readers(entry, req).await,
        Ok(_) if role == Role::Read => answer_read(entry, req, path),
        Ok(operator) => answer_change(entry, req, path, &operator).await,
        Err(problem) => problem.into(),
    }
}

/// Returns the role that a request requires; `None` if no route accepts it.
fn required_role(
    method: &Method,
    path: &[&str],
) -> Option<Role> {
    match (method, path) {
        (&Method::GET, _) => Some(Role::Read),
        (&Method::PUT, ["document"]) | (&Method::POST, ["document", "revert"]) => {
            Some(Role::Configure)
        }
        (&Method::POST, ["upstreams", _, "drain" | "undrain"])
        | (&Method::POST, ["jobs", "cancel"]) => Some(Role::Operate),
        _ => None,
    }
}

fn answer_read(
    entry: &Entry,
    req: &HttpRequest,
    path: &[&str],
) -> HttpResponse {
    match path {
        ["document"] => get_document(entry, req),
        ["document", "history"] => list_history(entry, req),
        ["document", "diff"] => diff(entry, req),
        ["accounts"] => list_accounts(entry, req),
        ["guarantees"] => list_guarantees(entry),
        ["upstreams"] => list_upstreams(entry, req),
        ["jobs"] => list_jobs(entry, req),
        ["jobs", id] => get_job(entry, id),
        ["jobs", id, "explain"] => explain_job(entry, id),
        ["entries"] => list_entries(entry, req),
        ["log"] => show_log(entry),
        ["audit"] => list_audit(entry, req),
        _ => Problem::not_found().into(),
    }
}

async fn answer_change(
    entry: &Entry,
    req: &HttpRequest,
    path: &[&str],
    operator: &OperatorName,
) -> HttpResponse {
    match path {
        ["document"] => put_document(entry, req, operator).await,
        ["document", "revert"] => revert(entry, req, operator).await,
        ["upstreams", upstream, "drain"] => set_drained(entry, upstream, operator, true).await,
        ["upstreams", upstream, "undrain"] => set_drained(entry, upstream, operator, false).await,
        ["jobs", "cancel"] => cancel_many(entry, req, operator).await,
        _ => Problem::not_found().into(),
    }
}
