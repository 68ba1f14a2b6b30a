//! The HTTP interface for operators: health and metrics.

use crate::{
    connection::{HttpHandler, HttpRequest, HttpResponse, Problem},
    prelude::*,
    process::{evacuations::Evacuations, job_service::JobService, metrics::PlatformMetrics},
};

/// The body limit of a request, in bytes. None of the paths expects a body.
const MAX_BODY_BYTES: usize = 1024;

/// The HTTP handler of `/healthz`, `/metrics` and, at an entry, `/evacuations`.
pub struct StatusApi {
    metrics: Rc<PlatformMetrics>,
    job_service: Option<Rc<JobService>>,
    evacuations: Option<Rc<RefCell<Evacuations>>>,
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
            evacuations: None,
        }
    }

    /// Adds the evacuated data centres, which an entry follows.
    pub fn with_evacuations(
        mut self,
        evacuations: Rc<RefCell<Evacuations>>,
    ) -> Self {
        self.evacuations = Some(evacuations);
        self
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
            ["evacuations"] => match &self.evacuations {
                Some(evacuations) => HttpResponse::json(
                    200,
                    &serde_json::json!({"data_centres": evacuations.borrow().names()}),
                ),
                None => Problem::not_found().into(),
            },
            _ => Problem::not_found().into(),
        }
    }

    fn update_gauges(&self) {
        if let Some(evacuations) = &self.evacuations {
            let gauge = &self.metrics.evacuated_data_centres;
            gauge.reset();
            for name in evacuations.borrow().names() {
                gauge.with_label_values(&[name.as_str()]).set(1);
            }
        }
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
