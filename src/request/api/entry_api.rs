//! The routes of an entry's HTTP API.

use {
    super::{
        admin::answer_admin,
        job_api::answer_jobs,
        request_api::answer_request,
        state_api::{answer_reader, answer_state},
    },
    crate::{
        connection::{HttpHandler, HttpRequest, HttpResponse, Problem},
        prelude::*,
        process::entry::Entry,
        version::Account,
    },
};

/// The limit on the body of a request to paths other than those of request kinds, in bytes.
const MAX_API_BODY_BYTES: usize = 256 << 10;

/// The HTTP handler for callers, operators and other entries.
pub struct EntryApi {
    entry: Rc<Entry>,
}

impl EntryApi {
    /// Creates the handler of an entry.
    pub fn new(entry: Rc<Entry>) -> Self {
        Self { entry }
    }

    async fn answer(
        &self,
        req: HttpRequest,
    ) -> HttpResponse {
        let entry = &self.entry;
        let segments = req.segments();
        match segments.as_slice() {
            ["healthz"] => HttpResponse::text(200, "ok\n"),
            ["readyz"] if entry.is_ready() => HttpResponse::text(200, "ready\n"),
            ["readyz"] => HttpResponse::text(503, "not ready\n"),
            ["metrics"] => HttpResponse::text(200, &entry.metrics.render()),
            ["v1", "state"] => answer_state(entry, &req),
            ["v1", "state", "reader"] => answer_reader(entry, &req),
            ["v1", "admin", rest @ ..] => answer_admin(entry, &req, rest).await,
            ["v1", "requests", kind] => match authenticate(entry, &req) {
                Ok(account) => answer_request(entry, &req, &account, kind).await,
                Err(problem) => problem.into(),
            },
            ["v1", "jobs", rest @ ..] => match authenticate(entry, &req) {
                Ok(account) => answer_jobs(entry, &req, &account, rest).await,
                Err(problem) => problem.into(),
            },
            _ => Problem::not_found().into(),
        }
    }
}

/// Returns the account whose key the request bears.
fn authenticate(
    entry: &Entry,
    req: &HttpRequest,
) -> Result<Account, Problem> {
    let key = req.bearer_key().ok_or_else(Problem::unauthorized)?;
    let document = entry.document();
    let account = document.account_by_key(key).cloned();
    account.ok_or_else(Problem::unauthorized)
}

impl HttpHandler for EntryApi {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(req).await })
    }

    fn record_malformed_request(&self) {
        self.entry.metrics.malformed_requests.inc();
    }

    fn max_body(
        &self,
        path: &str,
    ) -> usize {
        let kind = path.strip_prefix("/v1/requests/");
        let document = self.entry.document();
        let kind = kind.and_then(|k| document.request_kinds.get(&k.into()));
        kind.map_or(MAX_API_BODY_BYTES, |k| k.max_body as usize)
    }
}
