//! An HTTP server with one task for each connection.

use {
    super::{HttpHandler, HttpRequest, HttpResponse, Problem},
    crate::{
        connection::set_nodelay,
        prelude::*,
        process::{
            limits::{BodyError, BodySlot, OpenConnection, PortLimiter},
            task_group::TaskGroup,
        },
    },
    compio::net::{TcpListener, TcpStream},
    cyper_core::{CompioTimer, HyperStream},
    futures_util::{
        future::{Either, FutureExt, Shared, select},
        pin_mut,
    },
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    std::{cell::Cell, convert::Infallible, io},
};

/// The limit on the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// The timeout for reading the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout for reading the body of a request after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval at which the arrival rate of a body is checked.
const RATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The delay before a client whose body was aborted may try again: limits are reached for moments.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The delay after a failed accept, which prevents a busy loop when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The interval at which a stopping server checks whether all connections have closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The signal that tells every connection to shut down.
type StopSignal = Shared<LocalBoxFuture<'static, ()>>;

/// A listening HTTP server.
pub struct HttpServer {
    listener: TcpListener,
    handler: Rc<dyn HttpHandler>,
    limiter: Rc<PortLimiter>,
    open_connections: Rc<Cell<usize>>,
    connections: TaskGroup,
}

/// A token that counts one open connection of a server until it is dropped.
struct ServedConnection(Rc<Cell<usize>>);

impl ServedConnection {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for ServedConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl HttpServer {
    /// Creates a server without limits that listens on `address`.
    ///
    /// # Errors
    /// Returns the I/O error when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        handler: Rc<dyn HttpHandler>,
    ) -> io::Result<Self> {
        let limiter = Rc::new(PortLimiter::unlimited());
        Self::bind_limited(address, handler, limiter).await
    }

    /// Creates a server that listens on `address`. Its connections and bodies count in `limiter`.
    ///
    /// # Errors
    /// Returns the I/O error when the address cannot be bound.
    pub async fn bind_limited(
        address: SocketAddr,
        handler: Rc<dyn HttpHandler>,
        limiter: Rc<PortLimiter>,
    ) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            handler,
            limiter,
            open_connections: Rc::default(),
            connections: TaskGroup::default(),
        })
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    /// Returns the I/O error when the socket has no address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until `stop` completes, then waits until the requests in progress are
    /// answered. Dropping the future closes all connections immediately.
    pub async fn run<F>(
        self,
        stop: F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        let stop: StopSignal = stop.boxed_local().shared();
        loop {
            let accepting = self.listener.accept();
            pin_mut!(accepting);
            match select(accepting, stop.clone()).await {
                Either::Left((Ok((stream, _)), _)) => {
                    if let Some(open) = self.limiter.open_connection().await {
                        self.spawn_connection(stream, open, stop.clone());
                    }
                }
                Either::Left((Err(e), _)) => {
                    tracing::warn!(error = %e, "failed to accept a connection");
                    compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                Either::Right(_) => break,
            }
        }
        while self.open_connections.get() > 0 {
            compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    fn spawn_connection(
        &self,
        stream: TcpStream,
        open: OpenConnection,
        stop: StopSignal,
    ) {
        let handler = self.handler.clone();
        let served = ServedConnection::new(&self.open_connections);
        self.connections.spawn(async move {
            let _served = served;
            let open = Rc::new(open);
            let serving = serve_connection(stream, handler, open.clone(), stop);
            pin_mut!(serving);
            let closing = open.wait_for_close();
            pin_mut!(closing);
            // The request to close is checked first, so that an idle connection begins no request
            // once it is to be closed.
            if let Either::Left(_) = select(closing, serving).await {
                tracing::debug!("idle connection closed to make room");
            }
        });
    }
}

/// Serves one connection until the client closes it or, after `stop`, until the request in progress
/// is answered.
async fn serve_connection(
    stream: TcpStream,
    handler: Rc<dyn HttpHandler>,
    open: Rc<OpenConnection>,
    stop: StopSignal,
) {
    set_nodelay(&stream);
    let request_handler = handler.clone();
    let service = service_fn(move |req| handle_request(request_handler.clone(), open.clone(), req));
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(handler.head_timeout().unwrap_or(HEAD_TIMEOUT))
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(HyperStream::new_plain(stream), service);
    pin_mut!(connection);
    let result = match select(connection.as_mut(), stop).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        tracing::debug!(error = %e, "connection closed");
        if e.is_parse() || e.is_timeout() {
            handler.record_malformed_request();
        }
    }
}

/// Reads the body of one request, passes the request to the handler and builds the response.
async fn handle_request(
    handler: Rc<dyn HttpHandler>,
    open: Rc<OpenConnection>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let _busy = open.begin_request();
    let (head, body) = req.into_parts();
    let limit = handler.max_body(head.uri.path());
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Ok(reject_body(too_large(limit)));
    }
    let max_len = hint.exact().map_or(limit, |len| len as usize);
    // The bytes of the body count until the request is handled.
    let slot = (!body.is_end_stream()).then(|| open.limiter().admit_body(max_len));
    let body = match &slot {
        Some(slot) => receive_body(&*handler, body, slot, limit).await,
        None => Ok(Bytes::new()),
    };
    let body = match body {
        Ok(body) => body,
        Err(problem) => {
            drop(slot);
            return Ok(reject_body(problem));
        }
    };
    let req = HttpRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    Ok(build_response(handler.handle(req).await))
}

/// Receives a body within its time and the limits of the port.
async fn receive_body(
    handler: &dyn HttpHandler,
    body: Incoming,
    slot: &BodySlot,
    limit: usize,
) -> Result<Bytes, Problem> {
    let too_slow = || {
        handler.record_malformed_request();
        let seconds = BODY_TIMEOUT.as_secs();
        let detail = format!("the body arrived too slowly or not within {seconds} s");
        Problem::new(408, "body-too-slow", detail)
    };
    let aborted = slot.wait_for_abort();
    let reading = compio::time::timeout(BODY_TIMEOUT, read_body(body, slot));
    let rate_check = wait_until_too_slow(slot);
    pin_mut!(aborted, reading, rate_check);
    match select(aborted, select(reading, rate_check)).await {
        Either::Right((Either::Left((Ok(Ok(body)), _)), _)) => Ok(body),
        Either::Right((Either::Left((Ok(Err(BodyError::TooLarge)), _)), _)) => {
            Err(too_large(limit))
        }
        Either::Left(_) | Either::Right((Either::Left((Ok(Err(BodyError::Aborted)), _)), _)) => {
            let detail = "too many bodies are in progress; the request has not run";
            Err(Problem::new(503, "too-many-bodies", detail).retry_after(RETRY_DELAY))
        }
        Either::Right((Either::Left((Err(_), _)) | Either::Right(_), _)) => Err(too_slow()),
    }
}

/// Copies a body into the buffer of its slot. A body that is cut short counts as too large, as its
/// client cannot be told anything else.
async fn read_body(
    mut body: Incoming,
    slot: &BodySlot,
) -> Result<Bytes, BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            tracing::debug!(error = %e, "a body was cut short");
            BodyError::TooLarge
        })?;
        if let Some(data) = frame.data_ref() {
            slot.push(data)?;
        }
    }
    slot.complete()
}

/// Waits until a body arrives below the minimum rate.
async fn wait_until_too_slow(slot: &BodySlot) {
    while !slot.is_too_slow() {
        compio::time::sleep(RATE_CHECK_INTERVAL).await;
    }
}

fn too_large(limit: usize) -> Problem {
    let detail = format!("the body was cut short or is above {limit} bytes");
    Problem::new(413, "body-too-large", detail)
}

/// Builds the response to a request whose body was not read completely. It closes the connection,
/// which cannot be reused for another request.
fn reject_body(problem: Problem) -> Response<Full<Bytes>> {
    build_response(HttpResponse::from(problem).with_header("connection", "close"))
}

fn build_response(response: HttpResponse) -> Response<Full<Bytes>> {
    let mut builder = Response::builder()
        .status(response.status)
        .header("content-type", response.content_type);
    for (name, value) in &response.headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(response.body)).unwrap_or_else(|e| {
        tracing::error!(error = %e, "failed to build a response");
        let mut response = Response::new(Full::default());
        *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}
