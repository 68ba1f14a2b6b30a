//! Problem details.

use {super::HttpReply, serde::Serialize, serde_json::Value, std::time::Duration};

/// An error answer as RFC 9457 describes it.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// What kind of problem it is, as a short stable word.
    #[serde(rename = "type")]
    pub kind: String,
    /// A short summary of the kind.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened this time.
    pub detail: String,
    /// How long the caller should wait before another try, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
    /// Further members, such as the faults of a document.
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    pub extra: Option<Value>,
}

impl Problem {
    /// Creates a problem.
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
            extra: None,
        }
    }

    /// The answer for a missing or wrong key.
    pub fn unauthorized() -> Self {
        Self::new(401, "unauthorized", "a valid bearer key is required")
    }

    /// The answer for an unknown id, and for an id of another account.
    pub fn not_found() -> Self {
        Self::new(404, "not-found", "there is no such resource")
    }

    /// The answer for a fault of the program.
    pub fn internal(detail: &str) -> Self {
        Self::new(500, "internal", detail)
    }

    /// Adds when to try again; rounded up to whole seconds.
    pub fn retry_after(
        mut self,
        wait: Duration,
    ) -> Self {
        self.retry_after_s = Some(wait.as_millis().div_ceil(1000) as u64);
        self
    }

    /// Adds further members; `extra` has to be a JSON object.
    pub fn with_extra(
        mut self,
        extra: Value,
    ) -> Self {
        self.extra = Some(extra);
        self
    }
}

impl From<Problem> for HttpReply {
    fn from(problem: Problem) -> Self {
        let body = serde_json::to_vec(&problem).unwrap_or_else(|e| {
            tracing::error!(error = %e, status = problem.status, "problem details cannot be encoded");
            Vec::new()
        });
        let reply = Self::new(problem.status, "application/problem+json", body.into());
        match problem.retry_after_s {
            Some(s) => reply.with_header("retry-after", s),
            None => reply,
        }
    }
}
