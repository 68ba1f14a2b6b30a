//! Problem details for error responses.

use {super::HttpResponse, serde::Serialize, serde_json::Value, std::time::Duration};

/// The problem details of an error response (RFC 9457).
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// The problem type, a stable URN.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason phrase of the HTTP status.
    pub title: String,
    /// The HTTP status code.
    pub status: u16,
    /// An explanation of this occurrence.
    pub detail: String,
    /// The delay before a retry, in seconds; also sent as the `Retry-After` header.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
    /// Extension members, such as the faults of a document.
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    pub extensions: Option<Value>,
}

impl Problem {
    /// Creates a problem whose type ends in `kind`; the title is derived from the status.
    pub fn new(
        status: u16,
        kind: &str,
        detail: impl ToString,
    ) -> Self {
        let title = hyper::StatusCode::from_u16(status).ok();
        let title = title.and_then(|s| s.canonical_reason()).unwrap_or("Error");
        Self {
            kind: format!("urn:limpetquay:{kind}"),
            title: title.to_owned(),
            status,
            detail: detail.to_string(),
            retry_after_s: None,
            extensions: None,
        }
    }

    /// Creates the problem for a missing or invalid key.
    pub fn unauthorized() -> Self {
        Self::new(401, "unauthorized", "a valid bearer key is required")
    }

    /// Creates the problem for an unknown ID. An ID of another account gives the same problem.
    pub fn not_found() -> Self {
        Self::new(404, "not-found", "there is no such resource")
    }

    /// Creates the problem for an internal error.
    pub fn internal(detail: &str) -> Self {
        Self::new(500, "internal", detail)
    }

    /// Sets the delay before a retry, rounded up to whole seconds.
    pub fn retry_after(
        mut self,
        wait: Duration,
    ) -> Self {
        self.retry_after_s = Some(wait.as_millis().div_ceil(1000) as u64);
        self
    }

    /// Sets the extension members; `extensions` must be a JSON object.
    pub fn with_extensions(
        mut self,
        extensions: Value,
    ) -> Self {
        self.extensions = Some(extensions);
        self
    }
}

impl From<Problem> for HttpResponse {
    fn from(problem: Problem) -> Self {
        let body = serde_json::to_vec(&problem).unwrap_or_else(|e| {
            tracing::error!(error = %e, status = problem.status, "failed to encode the problem details");
            Vec::new()
        });
        let response = Self::new(problem.status, "application/problem+json", body.into());
        match problem.retry_after_s {
            Some(s) => response.with_header("retry-after", s),
            None => response,
        }
    }
}
