//! Polls the worker for as long as the process lives.

use {
    super::{PollRequest, RunGuard, RunWorkerError, WorkerAddress},
    crate::{prelude::*, process::clock::with_timeout},
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
};

/// How long a poll waits for a run to end. Each poll extends the worker's lease, so this is also
/// about the longest interval between extensions.
const POLL_WAIT: Duration = Duration::from_millis(900);

/// The pause between polls while ends are not acknowledged yet, and after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The pause between two polls otherwise, and after an event has interrupted one, so that frequent
/// events do not cause a storm of polls.
const POLL_GAP: Duration = Duration::from_millis(10);

/// The interval at which the task checks whether there is a worker and a session.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Polls the worker repeatedly once a session has been opened.
pub(super) async fn poll_worker(guard: Rc<RunGuard>) {
    let mut is_answered = false;
    loop {
        guard.end_expired_departure();
        guard.use_waiting_worker();
        let due = guard.poll_due.listen();
        let planned = plan_poll(&guard, is_answered);
        let Some((worker, call)) = planned else {
            with_timeout(&*guard.clock, IDLE_CHECK_INTERVAL, due).await;
            continue;
        };
        let sent = guard.clock.now();
        let polling = guard.worker.poll(&worker, call);
        pin_mut!(polling);
        match select(polling, due).await {
            Either::Left((result, _)) => {
                is_answered = result.is_ok();
                handle_result(&guard, &worker, call, sent, result).await;
            }
            Either::Right(_) => guard.clock.sleep(POLL_GAP).await,
        }
    }
}

/// Builds the next poll, if there is a worker and a session. It waits for an end only if the worker
/// has answered the previous poll, so that a lost response does not leave the worker's clock and
/// runs unknown for a whole wait.
fn plan_poll(
    guard: &RunGuard,
    is_answered: bool,
) -> Option<(WorkerAddress, PollRequest)> {
    let mut tracker = guard.tracker.borrow_mut();
    let session = tracker.session?;
    let worker = tracker.worker.clone()?;
    let is_first = !tracker.is_polled();
    let call = PollRequest {
        token: session.token,
        acknowledged_end: tracker.acknowledged_end,
        deadline_ms: tracker.deadline_ms(guard.clock.now()),
        wait: if is_first || !is_answered {
            Duration::ZERO
        } else {
            POLL_WAIT
        },
    };
    Some((worker, call))
}

async fn handle_result(
    guard: &RunGuard,
    worker: &WorkerAddress,
    call: PollRequest,
    sent: Millis,
    result: Result<super::PollResponse, RunWorkerError>,
) {
    if !guard.tracker.borrow().is_worker(worker) {
        return;
    }
    if matches!(result, Err(RunWorkerError::NotListening(_))) {
        guard.record_refused_connection(worker);
    } else {
        guard.tracker.borrow_mut().clear_refused_connections();
    }
    match result {
        Ok(response)
            if response
                .born_ms
                .is_none_or(|b| b == worker.life.started_at_ms) =>
        {
            let now = guard.clock.now();
            let token = call.token;
            let is_changed = guard
                .tracker
                .borrow_mut()
                .apply_poll(token, sent, now, response);
            let has_unacknowledged_ends = guard.tracker.borrow().has_unacknowledged_ends();
            if is_changed {
                guard.changed.notify(usize::MAX);
            }
            let due = guard.poll_due.listen();
            let pause = if has_unacknowledged_ends {
                POLL_RETRY_DELAY
            } else {
                POLL_GAP
            };
            with_timeout(&*guard.clock, pause, due).await;
        }
        Ok(response) => {
            tracing::info!(id = %worker.life.id, born_ms = ?response.born_ms, "another incarnation of the worker answered; waiting for its heartbeat");
            guard.tracker.borrow_mut().record_other_incarnation();
            guard.clock.sleep(POLL_RETRY_DELAY).await;
        }
        Err(e) => {
            if matches!(e, RunWorkerError::OtherLife) {
                guard.tracker.borrow_mut().record_other_incarnation();
            }
            tracing::warn!(id = %worker.life.id, token = call.token, error = %e, "worker poll failed");
            guard.clock.sleep(POLL_RETRY_DELAY).await;
        }
    }
}
