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

/// The largest answer of a client that is not told otherwise, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Why an HTTP call brought no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum HttpClientError {
    /// The peer was not reached, so the call had no effect.
    #[display("not connected: {_0}")]
    NotConnected(#[error(not(source))] String),
    /// The peer's host refused the connection because nothing listens there, so the call had no
    /// effect.
    #[display("connection refused: {_0}")]
    NotListening(#[error(not(source))] String),
    /// The call may have had its effect, but its answer is lost or cut.
    #[display("answer lost: {_0}")]
    AnswerLost(#[error(not(source))] String),
    /// The answer is larger than allowed.
    #[display("the answer is larger than {_0} bytes")]
    TooLarge(#[error(not(source))] u64),
    /// No answer came in time.
    #[display("timed out")]
    TimedOut,
}

impl HttpClientError {
    /// Turns the error into the log client's.
    pub fn as_log_error(&self) -> LogError {
        match self {
            Self::NotConnected(_) | Self::NotListening(_) => LogError::Unavailable,
            Self::AnswerLost(_) | Self::TooLarge(_) | Self::TimedOut => LogError::AnswerLost,
        }
    }

    /// Turns the error into the worker client's.
    pub fn as_worker_error(&self) -> WorkerError {
        match self {
            Self::NotConnected(_) | Self::NotListening(_) => WorkerError::NotReached,
            Self::TooLarge(_) => WorkerError::AnswerTooLarge,
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
    max_answer: u64,
}

impl HttpClient {
    /// Creates a client that follows no redirects and uses no proxy.
    ///
    /// # Panics
    /// When the HTTP library cannot set up its client, which happens only outside a runtime.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        let builder = cyper::Client::builder();
        let builder = builder.redirect(cyper::redirect::Policy::none()).no_proxy();
        let client = builder.build().expect("the client needs a running runtime");
        Self {
            client,
            clock,
            max_answer: MAX_ANSWER_BYTES,
        }
    }

    /// Returns a client over the same connections that takes larger or smaller answers, in bytes.
    pub fn with_max_answer(
        &self,
        max_answer: u64,
    ) -> Self {
        Self {
            max_answer,
            ..self.clone()
        }
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
        let body = self.read_body(resp).await?;
        Ok(HttpAnswer {
            status,
            request_id,
            body,
        })
    }

    /// Reads a whole body, up to the largest allowed.
    async fn read_body(
        &self,
        mut resp: cyper::Response,
    ) -> Result<Bytes, HttpClientError> {
        let mut body = BytesMut::new();
        while let Some(part) = resp.next().await {
            let part = part.map_err(|e| HttpClientError::AnswerLost(e.to_string()))?;
            if (body.len() + part.len()) as u64 > self.max_answer {
                return Err(HttpClientError::TooLarge(self.max_answer));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
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
            if is_refused(&e) {
                HttpClientError::NotListening(e.to_string())
            } else {
                HttpClientError::NotConnected(e.to_string())
            }
        }
        e => HttpClientError::AnswerLost(e.to_string()),
    }
}

/// Tells whether an error goes back to a refused connection.
fn is_refused(e: &(dyn std::error::Error + 'static)) -> bool {
    let io = e.downcast_ref::<io::Error>();
    io.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
        || e.source().is_some_and(is_refused)
}
