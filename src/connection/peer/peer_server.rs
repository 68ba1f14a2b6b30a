//! The server side of connections from entries and other guards.

use {
    super::{FrameError, GuardReply, GuardRequest, peer_link::Numbered, read_frame, write_frame},
    crate::{
        connection::set_nodelay,
        prelude::*,
        process::{metrics::Metrics, task_group::TaskGroup},
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
    tasks: Rc<TaskGroup>,
}

impl PeerServer {
    /// Creates a server that listens on `address`.
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
            tasks: Rc::default(),
        })
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
                    set_nodelay(&stream);
                    let handler = self.handler.clone();
                    let metrics = self.metrics.clone();
                    let calls = self.tasks.clone();
                    self.tasks
                        .spawn(serve_peer(stream, handler, metrics, calls));
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

/// Serves one connection: reads calls, handles each in a separate task and writes the replies.
async fn serve_peer(
    stream: TcpStream,
    handler: Rc<dyn PeerHandler>,
    metrics: Rc<Metrics>,
    calls: Rc<TaskGroup>,
) {
    let (mut read_half, mut write_half) = stream.into_split();
    let (tx, rx) = mpsc::unbounded();
    let reading = read_calls(&mut read_half, handler, tx, &calls);
    let writing = write_replies(&mut write_half, rx);
    pin_mut!(reading, writing);
    let result = match select(reading, writing).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
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
    handler: Rc<dyn PeerHandler>,
    tx: mpsc::UnboundedSender<Numbered<GuardReply>>,
    calls: &TaskGroup,
) -> Result<(), FrameError> {
    loop {
        let (number, req): Numbered<GuardRequest> = read_frame(stream).await?;
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
