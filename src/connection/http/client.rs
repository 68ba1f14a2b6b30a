//! A client for HTTP calls to upstreams and the platform.

use {
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            platform::{LogError, WorkerError},
        },
    },
    derive_more::{Display, Error},
    hyper::Method,
};

/// Why an HTTP call brought no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum HttpClientError {
    /// The peer was not reached, so the call had no effect.
    #[display("not connected: {_0}")]
    NotConnected(#[error(not(source))] String),
    /// The call may have had its effect, but its answer is lost or cut.
    #[display("answer lost: {_0}")]
    AnswerLost(#[error(not(source))] String),
    /// No answer came in time.
    #[display("timed out")]
    TimedOut,
}

impl HttpClientError {
    /// Turns the error into the log client's.
    pub fn as_log_error(&self) -> LogError {
        match self {
            Self::NotConnected(_) => LogError::Unavailable,
            Self::AnswerLost(_) | Self::TimedOut => LogError::AnswerLost,
        }
    }

    /// Turns the error into the worker client's.
    pub fn as_worker_error(&self) -> WorkerError {
        match self {
            Self::NotConnected(_) => WorkerError::NotReached,
            Self::AnswerLost(_) | Self::TimedOut => WorkerError::AnswerLost(self.to_string()),
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The request's identity as the answer repeats it.
    pub request_id: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A client that keeps connections open for reuse.
#[derive(Clone)]
pub struct HttpClient {
    client: cyper::Client,
    clock: Rc<dyn Clock>,
}

impl HttpClient {
    /// Creates a client.
    ///
    /// # Panics
    /// When the HTTP library cannot set up its client, which happens only outside a runtime.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let client = cyper::Client::new().expect("the client needs a running runtime");
        Self { client, clock }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// [`HttpClientError`] when no whole answer came in time.
    pub async fn get(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<HttpAnswer, HttpClientError> {
        self.call(Method::GET, url, &[], Bytes::new(), timeout)
            .await
    }

    /// Sends a POST request.
    ///
    /// # Errors
    /// [`HttpClientError`] when no whole answer came in time.
    pub async fn post(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpAnswer, HttpClientError> {
        self.call(Method::POST, url, headers, body, timeout).await
    }

    /// Sends a request and waits for its whole answer.
    ///
    /// # Errors
    /// [`HttpClientError`] when no whole answer came in time.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpAnswer, HttpClientError> {
        let exchange = self.exchange(method, url, headers, body);
        let result = with_timeout(&*self.clock, timeout, exchange).await;
        result.unwrap_or(Err(HttpClientError::TimedOut))
    }

    async fn exchange(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpAnswer, HttpClientError> {
        let mut req = self.client.request(method, url).map_err(not_sent)?;
        for (name, value) in headers {
            req = req.header(*name, *value).map_err(not_sent)?;
        }
        let resp = req.body(body).send().await.map_err(send_error)?;
        let status = resp.status().as_u16();
        let request_id = resp.headers().get("x-request-id");
        let request_id = request_id.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = resp.bytes().await;
        let body = body.map_err(|e| HttpClientError::AnswerLost(e.to_string()))?;
        Ok(HttpAnswer {
            status,
            request_id,
            body,
        })
    }
}

/// Turns an error from before the sending.
fn not_sent(e: cyper::Error) -> HttpClientError {
    HttpClientError::NotConnected(e.to_string())
}

/// Turns an error of sending; only a failed connection is sure to have had no effect.
fn send_error(e: cyper::Error) -> HttpClientError {
    match e {
        cyper::Error::HyperClient(e) if e.is_connect() => {
            HttpClientError::NotConnected(e.to_string())
        }
        e => HttpClientError::AnswerLost(e.to_string()),
    }
}
