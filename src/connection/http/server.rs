//! Serves HTTP connections, one task for each.

use {
    super::{HttpHandler, HttpReply, HttpRequest, Problem},
    crate::{connection::send_without_delay, prelude::*, process::task_group::TaskGroup},
    compio::net::{TcpListener, TcpStream},
    cyper_core::{CompioTimer, HyperStream},
    futures_util::{
        future::{Either, FutureExt, Shared, select},
        pin_mut,
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    std::{cell::Cell, convert::Infallible, io},
};

/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The most headers of a request.
const MAX_HEADERS: usize = 64;

/// The longest time that a request's head may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest time that a request's body may take to arrive after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause after a failed accept, so that running out of descriptors does not spin.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// How often a stopping server looks whether its connections have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A signal that is given once and seen by every connection.
type Stop = Shared<LocalBoxFuture<'static, ()>>;

/// An HTTP server.
pub struct HttpServer {
    listener: TcpListener,
    handler: Rc<dyn HttpHandler>,
    open: Rc<Cell<usize>>,
    connections: TaskGroup,
}

/// Counts one open connection while it lives.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl HttpServer {
    /// Binds the server's address.
    ///
    /// # Errors
    /// The error of binding.
    pub async fn bind(
        address: SocketAddr,
        handler: Rc<dyn HttpHandler>,
    ) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            handler,
            open: Rc::default(),
            connections: TaskGroup::default(),
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// The error of the socket.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until `stop` is done, then lets the requests in progress finish. When
    /// this is dropped, all connections end at once.
    pub async fn run<F>(
        self,
        stop: F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        let stop: Stop = stop.boxed_local().shared();
        loop {
            let accepting = self.listener.accept();
            pin_mut!(accepting);
            match select(accepting, stop.clone()).await {
                Either::Left((Ok((stream, _)), _)) => self.spawn_connection(stream, stop.clone()),
                Either::Left((Err(e), _)) => {
                    tracing::warn!(error = %e, "accepting a connection failed");
                    compio::time::sleep(ACCEPT_RETRY).await;
                }
                Either::Right(_) => break,
            }
        }
        while self.open.get() > 0 {
            compio::time::sleep(DRAIN_POLL).await;
        }
    }

    fn spawn_connection(
        &self,
        stream: TcpStream,
        stop: Stop,
    ) {
        let handler = self.handler.clone();
        let open = OpenConnection::new(&self.open);
        self.connections.spawn(async move {
            let _open = open;
            serve_connection(stream, handler, stop).await;
        });
    }
}

/// Serves one connection until its peer closes it, or until the request in progress is answered
/// after `stop`.
async fn serve_connection(
    stream: TcpStream,
    handler: Rc<dyn HttpHandler>,
    stop: Stop,
) {
    send_without_delay(&stream);
    let answering = handler.clone();
    let service = service_fn(move |req| answer(answering.clone(), req));
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEAD_TIMEOUT)
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
            handler.note_malformed();
        }
    }
}

/// Reads one request whole, has it answered and builds the response.
async fn answer(
    handler: Rc<dyn HttpHandler>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = req.into_parts();
    let limit = handler.max_body(head.uri.path());
    let reading = Limited::new(body, limit).collect();
    let body = match compio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            let detail = format!("the body was cut short or is above {limit} bytes");
            return Ok(refuse(Problem::new(413, "body-too-large", detail)));
        }
        Err(_) => {
            handler.note_malformed();
            let detail = format!(
                "the body did not arrive within {} s",
                BODY_TIMEOUT.as_secs()
            );
            return Ok(refuse(Problem::new(408, "body-too-slow", detail)));
        }
    };
    let req = HttpRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body: body.to_bytes(),
    };
    Ok(build_response(handler.handle(req).await))
}

/// Builds the response to a request whose body was not read whole, so its connection cannot go on.
fn refuse(problem: Problem) -> Response<Full<Bytes>> {
    build_response(HttpReply::from(problem).with_header("connection", "close"))
}

fn build_response(reply: HttpReply) -> Response<Full<Bytes>> {
    let mut builder = Response::builder()
        .status(reply.status)
        .header("content-type", reply.content_type);
    for (name, value) in &reply.headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(reply.body)).unwrap_or_else(|e| {
        tracing::error!(error = %e, "an answer could not be built");
        let mut response = Response::new(Full::default());
        *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}
