//! The sessions with one guard, in a task of their own.

use {
    super::{scheduler::TERM_SHIFT_BITS, scheduler_term::SchedulerTerm},
    crate::{
        connection::{FrameError, GuardReport, read_frame, send_without_delay, write_frame},
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

/// The longest time that connecting to a guard may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// The pause before another session is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// How often a guard is told that the scheduling entry lives.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The longest silence of a guard, three of its reports, before another connection is tried.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1300);

/// Keeps a session with a guard open for as long as the term lasts.
pub(super) async fn maintain_session(
    core: Rc<SchedulerTerm>,
    member: Member,
    wake: Rc<Event>,
) {
    let name = UpstreamName::from(&*member.name);
    let mut session = 0;
    loop {
        session += 1;
        let token = (core.term << TERM_SHIFT_BITS) + session;
        let connecting = TcpStream::connect(member.address);
        match with_timeout(&*core.clock, CONNECT_TIMEOUT, connecting).await {
            Some(Ok(stream)) => {
                core.scheduler.borrow_mut().open_session(&name);
                let result = run_session(&core, &name, token, stream, &wake).await;
                core.scheduler.borrow_mut().close_session(&name);
                tracing::info!(upstream = %name, token, error = ?result.err(), "session with the guard ended");
            }
            Some(Err(e)) => tracing::debug!(upstream = %name, error = %e, "guard not reached"),
            None => tracing::debug!(upstream = %name, "guard not reached in time"),
        }
        core.clock.sleep(RECONNECT_DELAY).await;
    }
}

async fn run_session(
    core: &Rc<SchedulerTerm>,
    name: &UpstreamName,
    token: u64,
    stream: TcpStream,
    wake: &Event,
) -> Result<(), FrameError> {
    send_without_delay(&stream);
    let (mut read_half, mut write_half) = stream.into_split();
    let reading = read_reports(core, name, token, &mut read_half, wake);
    let writing = write_orders(core, name, token, &mut write_half, wake);
    pin_mut!(reading, writing);
    match select(reading, writing).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    }
}

async fn read_reports<R>(
    core: &Rc<SchedulerTerm>,
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
        let reading = read_frame::<_, GuardReport>(stream);
        let Some(report) = with_timeout(&*core.clock, REPORT_TIMEOUT, reading).await else {
            tracing::warn!(upstream = %name, token, "the guard is silent");
            return Ok(());
        };
        let report = report?;
        if report.highest_token > token {
            core.check_token(report.highest_token);
            return Ok(());
        }
        let now = core.clock.now();
        core.scheduler.borrow_mut().apply_report(name, report, now);
        core.pass_due.notify(usize::MAX);
        if std::mem::take(&mut is_first) {
            wake.notify(usize::MAX);
        }
    }
}

async fn write_orders<W>(
    core: &Rc<SchedulerTerm>,
    name: &UpstreamName,
    token: u64,
    stream: &mut W,
    wake: &Event,
) -> Result<(), FrameError>
where
    W: compio::io::AsyncWrite,
{
    loop {
        let due = wake.listen();
        let message = core.scheduler.borrow_mut().next_message(name, token);
        write_frame(stream, &message).await?;
        if !core.scheduler.borrow().has_orders(name) {
            with_timeout(&*core.clock, HEARTBEAT_INTERVAL, due).await;
        }
    }
}
