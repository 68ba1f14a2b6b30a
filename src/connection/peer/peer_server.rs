//! The answering side of connections from entries.

use {
    super::{FrameError, GuardReply, GuardRequest, peer_link::Numbered, read_frame, write_frame},
    crate::{
        connection::send_without_delay,
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

/// The pause after a failed accept, so that running out of descriptors does not spin.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// What answers the calls.
pub trait PeerHandler {
    /// Does a call and returns its reply.
    fn handle(
        self: Rc<Self>,
        req: GuardRequest,
    ) -> LocalBoxFuture<'static, GuardReply>;
}

/// Accepts connections from entries; one task serves each.
pub struct PeerServer {
    listener: TcpListener,
    handler: Rc<dyn PeerHandler>,
    metrics: Rc<Metrics>,
    tasks: Rc<TaskGroup>,
}

impl PeerServer {
    /// Binds the server's address.
    ///
    /// # Errors
    /// The error of binding.
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

    /// Returns the bound address.
    ///
    /// # Errors
    /// The error of the socket.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections for ever. When this is dropped, all connections and calls end at once.
    pub async fn run(self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    send_without_delay(&stream);
                    let handler = self.handler.clone();
                    let metrics = self.metrics.clone();
                    let calls = self.tasks.clone();
                    self.tasks
                        .spawn(serve_peer(stream, handler, metrics, calls));
                }
                Err(e) => {
                    tracing::warn!(error = %e, "accepting a peer failed");
                    compio::time::sleep(ACCEPT_RETRY).await;
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

/// Serves one connection: reads calls, does each in a task of its own, writes the replies.
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
        && e.is_violation()
    {
        metrics.malformed_frames.inc();
        tracing::warn!(error = %e, "peer connection closed");
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
                tracing::debug!(number, "the peer is gone before its reply");
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
