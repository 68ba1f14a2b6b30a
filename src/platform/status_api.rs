//! The HTTP interface for operators: health and metrics.

use crate::{
    connection::{HttpHandler, HttpRequest, HttpResponse, Problem},
    prelude::*,
    process::{job_service::JobService, metrics::PlatformMetrics},
};

/// The body limit of a request, in bytes. None of the paths expects a body.
const MAX_BODY_BYTES: usize = 1024;

/// The HTTP handler of `/healthz` and `/metrics`.
pub struct StatusApi {
    metrics: Rc<PlatformMetrics>,
    job_service: Option<Rc<JobService>>,
}

impl StatusApi {
    /// Creates the handler of a process. An entry passes its job service, a guard `None`.
    pub fn new(
        metrics: Rc<PlatformMetrics>,
        job_service: Option<Rc<JobService>>,
    ) -> Self {
        Self {
            metrics,
            job_service,
        }
    }

    fn answer(
        &self,
        req: &HttpRequest,
    ) -> HttpResponse {
        match req.segments().as_slice() {
            ["healthz"] => HttpResponse::text(200, "ok\n"),
            ["metrics"] => {
                self.update_gauges();
                HttpResponse::text(200, &self.metrics.render())
            }
            _ => Problem::not_found().into(),
        }
    }

    fn update_gauges(&self) {
        let Some(job_service) = &self.job_service else {
            return;
        };
        if let Some(table) = job_service.queue_table() {
            self.metrics.config_version.set(table.version as i64);
        }
        if let Some(age) = job_service.ledger.age() {
            self.metrics.ledger_age_ms.set(age.as_millis() as i64);
        }
    }
}

impl HttpHandler for StatusApi {
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
