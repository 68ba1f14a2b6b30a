//! The server side of connections from entries and other guards.

use {
    super::{
        FrameError, GuardReply, GuardRequest, peer_link::Numbered, read_limited_frame, write_frame,
    },
    crate::{
        connection::set_nodelay,
        prelude::*,
        process::{
            limits::{OpenConnection, PortLimiter},
            metrics::Metrics,
            task_group::TaskGroup,
        },
    },
    compio::net::{TcpListener, TcpStream},
    futures_channel::mpsc,
    futures_util::{
        StreamExt,
        future::{Either, select},
        pin_mut,
    },
    std::io,
};

/// The delay after a failed accept, which prevents a busy loop when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A handler for the calls that a server receives.
pub trait PeerHandler {
    /// Handles one call and returns its reply.
    fn handle(
        self: Rc<Self>,
        req: GuardRequest,
    ) -> LocalBoxFuture<'static, GuardReply>;
}

/// A server for the peer protocol, with one task for each connection and each call.
pub struct PeerServer {
    listener: TcpListener,
    handler: Rc<dyn PeerHandler>,
    metrics: Rc<Metrics>,
    limiter: Rc<PortLimiter>,
    tasks: Rc<TaskGroup>,
}

impl PeerServer {
    /// Creates a server without limits that listens on `address`.
    ///
    /// # Errors
    /// Returns the I/O error when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        handler: Rc<dyn PeerHandler>,
        metrics: Rc<Metrics>,
    ) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            handler,
            metrics,
            limiter: Rc::new(PortLimiter::unlimited()),
            tasks: Rc::default(),
        })
    }

    /// Makes the server's connections and the frames that it reads count in `limiter`.
    pub fn with_limiter(
        mut self,
        limiter: Rc<PortLimiter>,
    ) -> Self {
        self.limiter = limiter;
        self
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    /// Returns the I/O error when the socket has no address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until the future is dropped, which closes all connections and cancels
    /// all calls immediately.
    pub async fn run(self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let Some(open) = self.limiter.open_connection().await else {
                        continue;
                    };
                    set_nodelay(&stream);
                    let handler = self.handler.clone();
                    let metrics = self.metrics.clone();
                    let calls = self.tasks.clone();
                    self.tasks
                        .spawn(serve_peer(stream, open, handler, metrics, calls));
                }
                Err(e) => {
                    tracing::warn!(error = %e, "failed to accept a peer connection");
                    compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.tasks.cancel();
    }
}

/// Serves one connection: reads calls, handles each in a separate task and writes the replies. The
/// connection counts as idle between the arrivals of calls.
async fn serve_peer(
    stream: TcpStream,
    open: OpenConnection,
    handler: Rc<dyn PeerHandler>,
    metrics: Rc<Metrics>,
    calls: Rc<TaskGroup>,
) {
    let (mut read_half, mut write_half) = stream.into_split();
    let (tx, rx) = mpsc::unbounded();
    let reading = read_calls(&mut read_half, &open, handler, tx, &calls);
    let writing = write_replies(&mut write_half, rx);
    let closing = open.wait_for_close();
    pin_mut!(reading, writing, closing);
    let result = match select(closing, select(reading, writing)).await {
        Either::Left(_) => Ok(()),
        Either::Right((Either::Left((result, _)) | Either::Right((result, _)), _)) => result,
    };
    if let Err(e) = result
        && e.is_protocol_violation()
    {
        metrics.malformed_frames.inc();
        tracing::warn!(error = %e, "peer connection closed after a protocol violation");
    }
}

async fn read_calls(
    stream: &mut TcpStream,
    open: &OpenConnection,
    handler: Rc<dyn PeerHandler>,
    tx: mpsc::UnboundedSender<Numbered<GuardReply>>,
    calls: &TaskGroup,
) -> Result<(), FrameError> {
    loop {
        let (number, req): Numbered<GuardRequest> =
            read_limited_frame(stream, open.limiter()).await?;
        // Restarts the time for which the connection counts as idle.
        drop(open.begin_request());
        let handling = handler.clone().handle(req);
        let tx = tx.clone();
        calls.spawn(async move {
            if tx.unbounded_send((number, handling.await)).is_err() {
                tracing::debug!(number, "the peer disconnected before its reply");
            }
        });
    }
}

async fn write_replies(
    stream: &mut TcpStream,
    mut rx: mpsc::UnboundedReceiver<Numbered<GuardReply>>,
) -> Result<(), FrameError> {
    while let Some(reply) = rx.next().await {
        write_frame(stream, &reply).await?;
    }
    Ok(())
}
