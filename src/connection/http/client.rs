//! A client for HTTP calls to upstreams and the platform.

use {
    super::{
        IdleConnections, Transfer,
        http_connection::{HttpConnection, SendError, Target, build_request},
    },
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            platform::{LogError, WorkerError},
        },
    },
    bytes::BytesMut,
    derive_more::{Display, Error},
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, body::Incoming},
    std::cell::Cell,
};

/// The default limit on the body of a response, in bytes.
const DEFAULT_MAX_ANSWER_BYTES: u64 = 64 << 20;

/// The time after which a call that its caller gives up counts as timed out. A slow store answers in
/// about 300 ms, and a read that has been hedged is given up after 450 ms or more. Calls that are
/// given up earlier do not show that a connection is silent.
const ABANDONED_CALL_TIMEOUT: Duration = Duration::from_millis(400);

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
    /// The request was sent and no complete response arrived before the timeout, only this number of
    /// bytes of its body; the call may have taken effect.
    #[display("timed out after {_0} bytes")]
    TimedOut(#[error(not(source))] u64),
}

impl HttpClientError {
    /// Converts the error to the log client's error.
    pub fn to_log_error(&self) -> LogError {
        match self {
            Self::NotConnected(_) | Self::NotListening(_) => LogError::Unavailable,
            Self::AnswerLost(_) | Self::TooLarge(_) | Self::TimedOut(_) => LogError::AnswerLost,
        }
    }

    /// Converts the error to the worker client's error.
    pub fn to_worker_error(&self) -> WorkerError {
        match self {
            Self::NotConnected(_) | Self::NotListening(_) => WorkerError::NotReached,
            Self::TooLarge(_) => WorkerError::AnswerTooLarge,
            Self::AnswerLost(_) | Self::TimedOut(_) => WorkerError::AnswerLost(self.to_string()),
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

/// A response that may have been cut off.
#[derive(Clone, Debug)]
pub struct PartialResponse {
    /// The HTTP status code.
    pub status: u16,
    /// What has been received of the body.
    pub body: Bytes,
    /// Why the body is incomplete; `None` if it is complete.
    pub cut_by: Option<HttpClientError>,
}

/// What a call has received so far.
struct Answer<'a> {
    /// Whether the peer may have received the request.
    is_sent: Cell<bool>,
    status: Cell<Option<u16>>,
    body: RefCell<BytesMut>,
    transfer: &'a Transfer<'a>,
}

impl<'a> Answer<'a> {
    fn new(transfer: &'a Transfer<'a>) -> Self {
        Self {
            is_sent: Cell::default(),
            status: Cell::default(),
            body: RefCell::default(),
            transfer,
        }
    }

    fn received(&self) -> u64 {
        self.body.borrow().len() as u64
    }
}

/// An HTTP client that keeps connections open for reuse. A call without an answer retires the idle
/// connections to its peer that have not answered since the call was sent, because connections may go
/// silent all at once, without a reset, while new ones work.
#[derive(Clone)]
pub struct HttpClient {
    idle: Rc<RefCell<IdleConnections<HttpConnection>>>,
    clock: Rc<dyn Clock>,
    max_answer_bytes: u64,
}

impl HttpClient {
    /// Creates a client that follows no redirects and uses no proxy.
    pub fn new(clock: Rc<dyn Clock>) -> Self {
        Self {
            idle: Rc::default(),
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
        let (target, request) = build_request(method, url, headers, body)?;
        let transfer = Transfer::default();
        let answer = Answer::new(&transfer);
        let exchange = self.exchange(&target, request, &answer);
        let limited = with_timeout(&*self.clock, timeout, exchange);
        self.finish(&target, &answer, limited).await
    }

    /// Sends a GET request and waits for the response as long as parts of it arrive. Returns what has
    /// been received if it ends early.
    ///
    /// # Errors
    /// Returns [`HttpClientError`] when nothing of the response's body arrives within `first`, and after
    /// that within `between`.
    pub async fn get_partial(
        &self,
        url: &str,
        first: Duration,
        between: Duration,
        transfer: &Transfer<'_>,
    ) -> Result<PartialResponse, HttpClientError> {
        let (target, request) = build_request(Method::GET, url, &[], Bytes::new())?;
        let transfer = Transfer::attempt_of(transfer);
        let answer = Answer::new(&transfer);
        let exchange = self.exchange(&target, request, &answer);
        let limited = transfer.with_silence_limit(&*self.clock, first, between, exchange);
        let error = match self.finish(&target, &answer, limited).await {
            Ok(response) => {
                return Ok(PartialResponse {
                    status: response.status,
                    body: response.body,
                    cut_by: None,
                });
            }
            Err(e) => e,
        };
        match answer.status.get() {
            Some(status) if answer.received() > 0 => Ok(PartialResponse {
                status,
                body: answer.body.take().freeze(),
                cut_by: Some(error),
            }),
            _ => Err(error),
        }
    }

    /// Waits for the outcome of an exchange, which is `None` when a limit has ended it. The idle
    /// connections to the peer that have not answered since are retired then.
    async fn finish<F>(
        &self,
        target: &Target,
        answer: &Answer<'_>,
        exchange: F,
    ) -> Result<HttpClientResponse, HttpClientError>
    where
        F: Future<Output = Option<Result<HttpClientResponse, HttpClientError>>>,
    {
        let mut silence = SilenceWatch::new(self, target.authority.clone());
        let result = exchange.await;
        silence.is_finished = true;
        if result.is_none() {
            self.retire(&target.authority, silence.sent_at);
        }
        match result {
            Some(result) => result,
            None if answer.is_sent.get() => Err(HttpClientError::TimedOut(answer.received())),
            None => {
                let why = format!("no connection to {} in time", target.authority);
                Err(HttpClientError::NotConnected(why))
            }
        }
    }

    /// Sends a request on an idle connection or a new one, and returns the connection to the idle
    /// ones after the complete response. `answer` holds what has been received if the exchange is
    /// dropped before.
    async fn exchange(
        &self,
        target: &Target,
        mut request: Request<Full<Bytes>>,
        answer: &Answer<'_>,
    ) -> Result<HttpClientResponse, HttpClientError> {
        loop {
            let idle = self.take_idle(&target.authority);
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => HttpConnection::open(target).await?,
            };
            answer.is_sent.set(true);
            let response = match connection.send(request).await {
                Ok(response) => response,
                // An idle connection was closed by the peer before the request was written to it.
                Err(SendError::Unsent(unsent, _)) if is_reused => {
                    answer.is_sent.set(false);
                    request = *unsent;
                    continue;
                }
                Err(SendError::Unsent(_, why)) => return Err(HttpClientError::NotConnected(why)),
                Err(SendError::Lost(why)) => return Err(HttpClientError::AnswerLost(why)),
            };
            let response = self.read_response(response, answer).await?;
            let now = self.clock.now();
            self.idle
                .borrow_mut()
                .put(&target.authority, connection, now);
            return Ok(response);
        }
    }

    fn take_idle(
        &self,
        peer: &str,
    ) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.prune(self.clock.now(), HttpConnection::is_ready);
        idle.take(peer)
    }

    /// Closes the idle connections to a peer that have not answered since `sent_at`.
    fn retire(
        &self,
        peer: &str,
        sent_at: Millis,
    ) {
        let closed = self.idle.borrow_mut().retire(peer, sent_at);
        if closed > 0 {
            tracing::info!(
                peer,
                closed,
                "idle connections closed: a call got no answer"
            );
        }
    }

    /// Reads the body of a response, up to the client's limit.
    async fn read_response(
        &self,
        response: Response<Incoming>,
        answer: &Answer<'_>,
    ) -> Result<HttpClientResponse, HttpClientError> {
        let (head, mut incoming) = response.into_parts();
        let request_id = head.headers.get("x-request-id");
        let request_id = request_id.and_then(|v| v.to_str().ok()).map(str::to_owned);
        answer.status.set(Some(head.status.as_u16()));
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|e| {
                HttpClientError::AnswerLost(format!("{e} after {} bytes", answer.received()))
            })?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            if answer.received() + part.len() as u64 > self.max_answer_bytes {
                return Err(HttpClientError::TooLarge(self.max_answer_bytes));
            }
            answer.body.borrow_mut().extend_from_slice(&part);
            answer.transfer.add(part.len());
        }
        Ok(HttpClientResponse {
            status: head.status.as_u16(),
            request_id,
            body: answer.body.take().freeze(),
        })
    }
}

/// Retires connections if its call is given up by the caller after [`ABANDONED_CALL_TIMEOUT`].
struct SilenceWatch<'a> {
    client: &'a HttpClient,
    peer: Arc<str>,
    sent_at: Millis,
    is_finished: bool,
}

impl<'a> SilenceWatch<'a> {
    fn new(
        client: &'a HttpClient,
        peer: Arc<str>,
    ) -> Self {
        Self {
            client,
            peer,
            sent_at: client.clock.now(),
            is_finished: false,
        }
    }
}

impl Drop for SilenceWatch<'_> {
    fn drop(&mut self) {
        let elapsed = self.client.clock.now().since(self.sent_at);
        if !self.is_finished && elapsed >= ABANDONED_CALL_TIMEOUT {
            self.client.retire(&self.peer, self.sent_at);
        }
    }
}
