//! Serves sessions with the scheduling entry, one task for each connection.

use {
    super::RunGuard,
    crate::{
        connection::{
            FrameError, GuardOrders, Transfer, WorkerView, read_frame_in_parts, read_limited_frame,
            set_nodelay, write_frame,
        },
        prelude::*,
        process::{
            clock::with_timeout,
            limits::{OpenConnection, PortLimiter},
        },
    },
    compio::net::{TcpListener, TcpStream},
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
};

/// How long a session's peer may send nothing before the connection is closed: several of its
/// heartbeat intervals.
const SCHEDULER_TIMEOUT: Duration = Duration::from_secs(3);

/// The interval between reports when nothing has changed.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// The minimum time between two reports, so that changes are grouped.
const MIN_REPORT_GAP: Duration = Duration::from_millis(15);

/// The pause after a failed accept, so that the loop does not spin without free file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Accepts connections forever.
pub(super) async fn serve_sessions(
    guard: Rc<RunGuard>,
    listener: TcpListener,
    limiter: Rc<PortLimiter>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let Some(open) = limiter.open_connection().await else {
                    continue;
                };
                set_nodelay(&stream);
                let guard = guard.clone();
                let serving = async move {
                    if let Err(e) = serve_session(&guard, &open, stream).await {
                        tracing::info!(%peer, error = %e, "session ended");
                    }
                };
                compio::runtime::spawn(serving).detach();
            }
            Err(e) => {
                tracing::warn!(error = %e, "failed to accept a session");
                guard.clock.sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Serves one connection. It is closed when others need its place, until its first frame has arrived.
async fn serve_session(
    guard: &Rc<RunGuard>,
    open: &OpenConnection,
    mut stream: TcpStream,
) -> Result<(), FrameError> {
    let Some(first) = read_first_orders(guard, open, &mut stream).await else {
        return Ok(());
    };
    let first = first?;
    let _busy = open.begin_request();
    let token = first.token;
    let is_open = guard.tracker.borrow_mut().open_session(token);
    let highest_token = guard.tracker.borrow().highest_token;
    tracing::info!(token, highest_token, is_open, "session requested");
    if !is_open {
        let mut report = guard.tracker.borrow().report(guard.clock.now());
        report.worker = WorkerView::Unknown;
        write_frame(&mut stream, &report).await?;
        return Ok(());
    }
    guard.carry_out(&first);
    guard.poll_due.notify(usize::MAX);
    let (mut read_half, mut write_half) = stream.into_split();
    let reading = read_orders(guard, token, &mut read_half);
    let writing = write_reports(guard, token, &mut write_half);
    pin_mut!(reading, writing);
    match select(reading, writing).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

/// Reads the frame that opens a session; `None` if it does not arrive in time, or if the connection has
/// to be closed before.
async fn read_first_orders(
    guard: &RunGuard,
    open: &OpenConnection,
    stream: &mut TcpStream,
) -> Option<Result<GuardOrders, FrameError>> {
    let reading = read_limited_frame(stream, open.limiter());
    let reading = with_timeout(&*guard.clock, SCHEDULER_TIMEOUT, reading);
    let closing = open.wait_for_close();
    pin_mut!(reading, closing);
    match select(closing, reading).await {
        Either::Left(_) => None,
        Either::Right((first, _)) => first,
    }
}

async fn read_orders<R>(
    guard: &Rc<RunGuard>,
    token: u64,
    stream: &mut R,
) -> Result<(), FrameError>
where
    R: compio::io::AsyncRead,
{
    loop {
        let transfer = Transfer::default();
        let reading = read_frame_in_parts::<_, GuardOrders>(stream, &transfer);
        let limit = SCHEDULER_TIMEOUT;
        let orders = transfer.with_silence_limit(&*guard.clock, limit, limit, reading);
        let Some(orders) = orders.await else {
            tracing::warn!(
                token,
                "the scheduling entry is unresponsive; closing the session"
            );
            return Ok(());
        };
        let orders = orders?;
        if !guard.tracker.borrow().is_session_open(token) {
            return Ok(());
        }
        guard.carry_out(&orders);
    }
}

async fn write_reports<W>(
    guard: &Rc<RunGuard>,
    token: u64,
    stream: &mut W,
) -> Result<(), FrameError>
where
    W: compio::io::AsyncWrite,
{
    loop {
        let changed = guard.changed.listen();
        let report = guard.tracker.borrow().report(guard.clock.now());
        write_frame(stream, &report).await?;
        guard.clock.sleep(MIN_REPORT_GAP).await;
        with_timeout(&*guard.clock, REPORT_INTERVAL, changed).await;
        if !guard.tracker.borrow().is_session_open(token) {
            return Ok(());
        }
    }
}
