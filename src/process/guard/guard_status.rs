//! The HTTP endpoints of a guard for health checks and metrics.

use {
    super::Guard,
    crate::{
        connection::{HttpHandler, HttpRequest, HttpResponse, Problem},
        prelude::*,
        process::metrics::Metrics,
    },
};

/// The maximum size of a request body, in bytes; no endpoint reads one.
const MAX_BODY_BYTES: usize = 1024;

/// Serves `/healthz`, `/readyz` and `/metrics` of a guard.
pub struct GuardStatus {
    guard: Rc<Guard>,
    metrics: Rc<Metrics>,
}

impl GuardStatus {
    /// Creates the HTTP handler of a guard.
    pub fn new(
        guard: Rc<Guard>,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self { guard, metrics }
    }

    fn respond(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        match req.segments().as_slice() {
            ["healthz"] => HttpResponse::text(200, "ok\n"),
            ["readyz"] if self.guard.is_ready() => HttpResponse::text(200, "ready\n"),
            ["readyz"] => HttpResponse::text(503, "not ready\n"),
            ["metrics"] => HttpResponse::text(200, &self.metrics.render()),
            _ => Problem::not_found().into(),
        }
    }
}

impl HttpHandler for GuardStatus {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.respond(&req) })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        MAX_BODY_BYTES
    }
}
