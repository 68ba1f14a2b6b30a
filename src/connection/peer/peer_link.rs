//! The client side of one connection to a guard.

use {
    super::{FrameError, GuardPeer, GuardReply, GuardRequest, LinkError, read_frame, write_frame},
    crate::{
        connection::set_nodelay,
        prelude::*,
        process::{clock::with_timeout, metrics::Metrics},
    },
    compio::net::TcpStream,
    futures_channel::{mpsc, oneshot},
    futures_util::{
        StreamExt,
        future::{Either, select},
        pin_mut,
    },
    std::collections::HashMap,
};

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call or reply with the call's number, by which replies are matched to calls.
pub(super) type Numbered<T> = (u64, T);

/// A call to send, with the channel for its reply.
struct OutgoingCall {
    req: GuardRequest,
    reply: oneshot::Sender<Result<GuardReply, LinkError>>,
}

/// The reply channels of calls that were sent and have no reply yet, by number.
type PendingCalls = RefCell<HashMap<u64, oneshot::Sender<Result<GuardReply, LinkError>>>>;

/// A connection to a guard, established by the first call and re-established by the next call after
/// a failure. Replies are matched to calls by number, so they may arrive in any order.
pub struct PeerLink {
    tx: mpsc::UnboundedSender<OutgoingCall>,
}

impl PeerLink {
    /// Starts the connection's task, which ends when the link is dropped.
    pub fn open(
        address: SocketAddr,
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let (tx, rx) = mpsc::unbounded();
        compio::runtime::spawn(run_link(address, clock, metrics, rx)).detach();
        Rc::new(Self { tx })
    }

    async fn send(
        &self,
        req: GuardRequest,
    ) -> Result<GuardReply, LinkError> {
        let (reply, rx) = oneshot::channel();
        let sent = self.tx.unbounded_send(OutgoingCall { req, reply });
        sent.map_err(|_| LinkError::NotSent)?;
        rx.await.unwrap_or(Err(LinkError::ReplyLost))
    }
}

impl GuardPeer for PeerLink {
    fn call(
        &self,
        req: GuardRequest,
    ) -> LocalBoxFuture<'_, Result<GuardReply, LinkError>> {
        Box::pin(self.send(req))
    }
}

/// Connects when there is a call to send and serves the connection until it fails.
async fn run_link(
    address: SocketAddr,
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    mut rx: mpsc::UnboundedReceiver<OutgoingCall>,
) {
    while let Some(first) = rx.next().await {
        let connecting = TcpStream::connect(address);
        match with_timeout(&*clock, CONNECT_TIMEOUT, connecting).await {
            Some(Ok(stream)) => {
                set_nodelay(&stream);
                serve_link(stream, first, &metrics, &mut rx).await;
            }
            _ => {
                metrics.peer_connect_failures.inc();
                fail_call(first.reply, LinkError::NotSent);
            }
        }
    }
}

/// Writes calls and reads replies until either fails, then fails the pending calls with
/// [`LinkError::ReplyLost`].
async fn serve_link(
    stream: TcpStream,
    first: OutgoingCall,
    metrics: &Metrics,
    rx: &mut mpsc::UnboundedReceiver<OutgoingCall>,
) {
    let pending = PendingCalls::default();
    let (mut read_half, mut write_half) = stream.into_split();
    let writing = write_calls(&mut write_half, first, &pending, metrics, rx);
    let reading = read_replies(&mut read_half, &pending, metrics);
    pin_mut!(writing, reading);
    let result = match select(writing, reading).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    };
    if let Err(e) = result
        && !e.is_closed()
    {
        tracing::warn!(error = %e, "peer link failed");
    }
    for (_, reply) in pending.borrow_mut().drain() {
        fail_call(reply, LinkError::ReplyLost);
    }
}

/// Reports an error to the caller of a call, unless it has stopped waiting.
fn fail_call(
    reply: oneshot::Sender<Result<GuardReply, LinkError>>,
    error: LinkError,
) {
    if reply.send(Err(error)).is_err() {
        tracing::debug!("the caller of a failed call no longer waits");
    }
}

async fn write_calls(
    stream: &mut TcpStream,
    first: OutgoingCall,
    pending: &PendingCalls,
    metrics: &Metrics,
    rx: &mut mpsc::UnboundedReceiver<OutgoingCall>,
) -> Result<(), FrameError> {
    let mut number = 0;
    let mut next = Some(first);
    while let Some(OutgoingCall { req, reply }) = next {
        number += 1;
        pending.borrow_mut().insert(number, reply);
        let len = write_frame(stream, &(number, req)).await?;
        metrics.peer_bytes_sent.inc_by(len as u64);
        next = rx.next().await;
    }
    Ok(())
}

async fn read_replies(
    stream: &mut TcpStream,
    pending: &PendingCalls,
    metrics: &Metrics,
) -> Result<(), FrameError> {
    loop {
        let (number, reply): Numbered<GuardReply> = read_frame(stream).await?;
        let reply_tx = pending.borrow_mut().remove(&number);
        let is_delivered = reply_tx.is_some_and(|tx| tx.send(Ok(reply)).is_ok());
        if !is_delivered {
            metrics.late_replies.inc();
            tracing::debug!(number, "dropped a reply whose caller no longer waits");
        }
    }
}
