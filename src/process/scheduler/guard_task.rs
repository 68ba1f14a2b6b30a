//! Keeps a session with one guard, which sends it orders and reads its reports.

use {
    super::scheduler_term::SchedulerTerm,
    crate::{
        connection::{
            FrameError, GuardReport, Transfer, read_frame_in_parts, set_nodelay, write_frame,
        },
        prelude::*,
        process::{clock::with_timeout, ledger::Member},
    },
    compio::net::TcpStream,
    event_listener::Event,
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
};

/// The longest time for connecting to a guard.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// The delay before the next attempt to open a session.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// The longest time between two messages to a guard, so that its lease is renewed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// How long a guard may send nothing, just over three report intervals, before the session is reopened. A
/// long report may arrive more slowly than that.
const REPORT_SILENCE_LIMIT: Duration = Duration::from_millis(1300);

/// Keeps a session with a guard open for the rest of the term, and reconnects when it ends.
pub(super) async fn maintain_session(
    shared: Rc<SchedulerTerm>,
    member: Member,
    wake: Rc<Event>,
) {
    let name = UpstreamName::from(&*member.name);
    loop {
        let connecting = TcpStream::connect(member.address);
        match with_timeout(&*shared.clock, CONNECT_TIMEOUT, connecting).await {
            Some(Ok(stream)) => {
                let Some(token) = shared.next_token(&name) else {
                    return;
                };
                shared.scheduler.borrow_mut().open_session(&name);
                let result = run_session(&shared, &name, token, stream, &wake).await;
                shared.scheduler.borrow_mut().close_session(&name);
                tracing::info!(upstream = %name, token, error = ?result.err(), "session with the guard ended");
            }
            Some(Err(e)) => tracing::debug!(upstream = %name, error = %e, "guard not reached"),
            None => tracing::debug!(upstream = %name, "guard not reached in time"),
        }
        shared.clock.sleep(RECONNECT_DELAY).await;
    }
}

async fn run_session(
    shared: &Rc<SchedulerTerm>,
    name: &UpstreamName,
    token: u64,
    stream: TcpStream,
    wake: &Event,
) -> Result<(), FrameError> {
    set_nodelay(&stream);
    let (mut read_half, mut write_half) = stream.into_split();
    let reading = read_reports(shared, name, token, &mut read_half, wake);
    let writing = write_orders(shared, name, token, &mut write_half, wake);
    pin_mut!(reading, writing);
    match select(reading, writing).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

async fn read_reports<R>(
    shared: &Rc<SchedulerTerm>,
    name: &UpstreamName,
    token: u64,
    stream: &mut R,
    wake: &Event,
) -> Result<(), FrameError>
where
    R: compio::io::AsyncRead,
{
    let mut is_first = true;
    loop {
        let transfer = Transfer::default();
        let reading = read_frame_in_parts::<_, GuardReport>(stream, &transfer);
        let limit = REPORT_SILENCE_LIMIT;
        let report = transfer.with_silence_limit(&*shared.clock, limit, limit, reading);
        let Some(report) = report.await else {
            tracing::warn!(upstream = %name, token, "the guard is silent");
            return Ok(());
        };
        let report = report?;
        if report.highest_token > token {
            shared.check_token(report.highest_token);
            return Ok(());
        }
        if report.token != token {
            tracing::warn!(upstream = %name, token, reported = report.token, "the guard has refused the session");
            return Ok(());
        }
        let now = shared.clock.now();
        shared
            .scheduler
            .borrow_mut()
            .apply_report(name, report, now);
        shared.pass_due.notify(usize::MAX);
        if std::mem::take(&mut is_first) {
            wake.notify(usize::MAX);
        }
    }
}

async fn write_orders<W>(
    shared: &Rc<SchedulerTerm>,
    name: &UpstreamName,
    token: u64,
    stream: &mut W,
    wake: &Event,
) -> Result<(), FrameError>
where
    W: compio::io::AsyncWrite,
{
    loop {
        let woken = wake.listen();
        let message = shared.scheduler.borrow_mut().next_message(name, token);
        write_frame(stream, &message).await?;
        if !shared.scheduler.borrow().has_orders(name) {
            with_timeout(&*shared.clock, HEARTBEAT_INTERVAL, woken).await;
        }
    }
}
