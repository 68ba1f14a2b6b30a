//! What a process tells operators over HTTP.

use crate::{
    connection::{HttpHandler, HttpRequest, HttpResponse, Problem},
    prelude::*,
    process::{job_service::JobService, metrics::FleetMetrics},
};

/// The largest body of a request, in bytes; none of the paths takes one.
const MAX_BODY_BYTES: usize = 1024;

/// Answers `/healthz` and `/metrics`.
pub struct Status {
    metrics: Rc<FleetMetrics>,
    desk: Option<Rc<JobService>>,
}

impl Status {
    /// Creates the status of a process; an entry's has a desk.
    pub fn new(
        metrics: Rc<FleetMetrics>,
        desk: Option<Rc<JobService>>,
    ) -> Self {
        Self { metrics, desk }
    }

    fn answer(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        match req.segments().as_slice() {
            ["healthz"] => HttpResponse::text(200, "ok\n"),
            ["metrics"] => {
                self.refresh();
                HttpResponse::text(200, &self.metrics.render())
            }
            _ => Problem::not_found().into(),
        }
    }

    fn refresh(&self) {
        let Some(desk) = &self.desk else {
            return;
        };
        if let Some(table) = desk.table() {
            self.metrics.config_version.set(table.version as i64);
        }
        if let Some(age) = desk.ledger.age() {
            self.metrics.ledger_age_ms.set(age.as_millis() as i64);
        }
    }
}

impl HttpHandler for Status {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(&req) })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        MAX_BODY_BYTES
    }
}
