//! A client for HTTP calls to upstreams and the platform.

use {
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            platform::{LogError, WorkerError},
        },
    },
    bytes::BytesMut,
    derive_more::{Display, Error},
    futures_util::StreamExt,
    hyper::Method,
    std::io,
};

/// The default limit on the body of a response, in bytes.
const DEFAULT_MAX_ANSWER_BYTES: u64 = 64 << 20;

/// An error of an HTTP call that returned no complete response.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum HttpClientError {
    /// No connection could be established, so the call had no effect.
    #[display("not connected: {_0}")]
    NotConnected(#[error(not(source))] String),
    /// The peer's host refused the connection because no process listens on the port, so the call
    /// had no effect.
    #[display("connection refused: {_0}")]
    NotListening(#[error(not(source))] String),
    /// The response is lost or truncated; the call may have taken effect.
    #[display("answer lost: {_0}")]
    AnswerLost(#[error(not(source))] String),
    /// The body of the response exceeds this limit, in bytes.
    #[display("the answer is larger than {_0} bytes")]
    TooLarge(#[error(not(source))] u64),
    /// No complete response arrived before the timeout; the call may have taken effect.
    #[display("timed out")]
    TimedOut,
}

impl HttpClientError {
    /// Converts the error to the log client's error.
    pub fn to_log_error(&self) -> LogError {
        match self {
            Self::NotConnected(_) | Self::NotListening(_) => LogError::Unavailable,
            Self::AnswerLost(_) | Self::TooLarge(_) | Self::TimedOut => LogError::AnswerLost,
        }
    }

    /// Converts the error to the worker client's error.
    pub fn to_worker_error(&self) -> WorkerError {
        match self {
            Self::NotConnected(_) | Self::NotListening(_) => WorkerError::NotReached,
            Self::TooLarge(_) => WorkerError::AnswerTooLarge,
            Self::AnswerLost(_) | Self::TimedOut => WorkerError::AnswerLost(self.to_string()),
        }
    }
}

/// A response whose body has been read completely.
#[derive(Clone, Debug)]
pub struct HttpClientResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The request ID from the `x-request-id` header.
    pub request_id: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// An HTTP client that keeps connections open for reuse.
#[derive(Clone)]
pub struct HttpClient {
    client: cyper::Client,
    clock: Rc<dyn Clock>,
    max_answer_bytes: u64,
}

impl HttpClient {
    /// Creates a client that follows no redirects and uses no proxy.
    ///
    /// # Panics
    /// Panics when called outside a runtime, where the HTTP library cannot create its client.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let builder = cyper::Client::builder();
        let builder = builder.redirect(cyper::redirect::Policy::none()).no_proxy();
        let client = builder
            .build()
            .expect("the HTTP client must be created inside a runtime");
        Self {
            client,
            clock,
            max_answer_bytes: DEFAULT_MAX_ANSWER_BYTES,
        }
    }

    /// Returns a client that shares this one's connections and limits the body of a response to
    /// `max_answer_bytes`.
    pub fn with_max_answer(
        &self,
        max_answer_bytes: u64,
    ) -> Self {
        Self {
            max_answer_bytes,
            ..self.clone()
        }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// Returns [`HttpClientError`] when no complete response arrives before the timeout.
    pub async fn get(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<HttpClientResponse, HttpClientError> {
        self.call(Method::GET, url, &[], Bytes::new(), timeout)
            .await
    }

    /// Sends a POST request.
    ///
    /// # Errors
    /// Returns [`HttpClientError`] when no complete response arrives before the timeout.
    pub async fn post(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpClientResponse, HttpClientError> {
        self.call(Method::POST, url, headers, body, timeout).await
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    /// Returns [`HttpClientError`] when no complete response arrives before the timeout.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpClientResponse, HttpClientError> {
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
    ) -> Result<HttpClientResponse, HttpClientError> {
        let mut req = self.client.request(method, url).map_err(not_connected)?;
        for (name, value) in headers {
            req = req.header(*name, *value).map_err(not_connected)?;
        }
        let resp = req.body(body).send().await.map_err(send_error)?;
        let status = resp.status().as_u16();
        let request_id = resp.headers().get("x-request-id");
        let request_id = request_id.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = self.read_body(resp).await?;
        Ok(HttpClientResponse {
            status,
            request_id,
            body,
        })
    }

    /// Reads the body of a response, up to the client's limit.
    async fn read_body(
        &self,
        mut resp: cyper::Response,
    ) -> Result<Bytes, HttpClientError> {
        let mut body = BytesMut::new();
        while let Some(part) = resp.next().await {
            let part = part.map_err(|e| HttpClientError::AnswerLost(e.to_string()))?;
            if (body.len() + part.len()) as u64 > self.max_answer_bytes {
                return Err(HttpClientError::TooLarge(self.max_answer_bytes));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    }
}

/// Converts an error that occurred before the request was sent.
fn not_connected(e: cyper::Error) -> HttpClientError {
    HttpClientError::NotConnected(e.to_string())
}

/// Converts an error of sending a request. Only a failure to connect guarantees that the request
/// had no effect.
fn send_error(e: cyper::Error) -> HttpClientError {
    match e {
        cyper::Error::HyperClient(e) if e.is_connect() => {
            if is_connection_refused(&e) {
                HttpClientError::NotListening(e.to_string())
            } else {
                HttpClientError::NotConnected(e.to_string())
            }
        }
        e => HttpClientError::AnswerLost(e.to_string()),
    }
}

/// Returns whether a refused connection is the error or one of its sources.
fn is_connection_refused(e: &(dyn std::error::Error + 'static)) -> bool {
    let io = e.downcast_ref::<io::Error>();
    io.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
        || e.source().is_some_and(is_connection_refused)
}
