//! The calling side of one connection to a guard.

use {
    super::{FrameError, GuardPeer, GuardReply, GuardRequest, LinkError, read_frame, write_frame},
    crate::{
        connection::send_without_delay,
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

/// The longest time that connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call with the number that its reply repeats.
pub(super) type Numbered<T> = (u64, T);

/// A call on its way, with the place where its reply is awaited.
struct Outgoing {
    req: GuardRequest,
    reply: oneshot::Sender<Result<GuardReply, LinkError>>,
}

/// Calls that were sent and have no reply yet, by number.
type Pending = RefCell<HashMap<u64, oneshot::Sender<Result<GuardReply, LinkError>>>>;

/// One connection to a guard, opened when there is something to send and opened anew after it
/// failed. Replies are matched to calls by number, so they may come in any order.
pub struct PeerLink {
    tx: mpsc::UnboundedSender<Outgoing>,
}

impl PeerLink {
    /// Starts the connection's task. It ends when the link is dropped.
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
        let (reply, answered) = oneshot::channel();
        let sent = self.tx.unbounded_send(Outgoing { req, reply });
        sent.map_err(|_| LinkError::NotSent)?;
        answered.await.unwrap_or(Err(LinkError::ReplyLost))
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

/// Connects whenever there is a call to send, and serves the connection until it fails.
async fn run_link(
    address: SocketAddr,
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    mut rx: mpsc::UnboundedReceiver<Outgoing>,
) {
    while let Some(first) = rx.next().await {
        let connecting = TcpStream::connect(address);
        match with_timeout(&*clock, CONNECT_TIMEOUT, connecting).await {
            Some(Ok(stream)) => {
                send_without_delay(&stream);
                serve_link(stream, first, &metrics, &mut rx).await;
            }
            _ => {
                metrics.peer_connect_failures.inc();
                answer(first.reply, LinkError::NotSent);
            }
        }
    }
}

/// Writes calls and reads replies until one side fails; open calls then have lost their reply.
async fn serve_link(
    stream: TcpStream,
    first: Outgoing,
    metrics: &Metrics,
    rx: &mut mpsc::UnboundedReceiver<Outgoing>,
) {
    let pending = Pending::default();
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
        answer(reply, LinkError::ReplyLost);
    }
}

/// Tells a caller that its call failed, unless it has stopped waiting.
fn answer(
    reply: oneshot::Sender<Result<GuardReply, LinkError>>,
    error: LinkError,
) {
    if reply.send(Err(error)).is_err() {
        tracing::debug!("the caller of a failed call has stopped waiting");
    }
}

async fn write_calls(
    stream: &mut TcpStream,
    first: Outgoing,
    pending: &Pending,
    metrics: &Metrics,
    rx: &mut mpsc::UnboundedReceiver<Outgoing>,
) -> Result<(), FrameError> {
    let mut number = 0;
    let mut next = Some(first);
    while let Some(Outgoing { req, reply }) = next {
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
    pending: &Pending,
    metrics: &Metrics,
) -> Result<(), FrameError> {
    loop {
        let (number, reply): Numbered<GuardReply> = read_frame(stream).await?;
        let waiting = pending.borrow_mut().remove(&number);
        let is_taken = waiting.is_some_and(|tx| tx.send(Ok(reply)).is_ok());
        if !is_taken {
            metrics.late_replies.inc();
            tracing::debug!(number, "a reply that nobody waits for was dropped");
        }
    }
}
