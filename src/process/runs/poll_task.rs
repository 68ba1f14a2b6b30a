//! Looks at the worker for as long as the process lives.

use {
    super::{PollRequest, RunGuard, RunWorkerError, WorkerAddress},
    crate::{prelude::*, process::clock::with_timeout},
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
};

/// How long a look waits for an end; also how often the worker's lease is extended at least.
const POLL_WAIT: Duration = Duration::from_millis(900);

/// The pause between looks while ends wait to be recorded, and after a failed look.
const POLL_PAUSE: Duration = Duration::from_millis(150);

/// The least pause between two looks, so that events do not bring a storm of looks.
const MIN_POLL_GAP: Duration = Duration::from_millis(10);

/// How often the task looks whether there is a worker and a session.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Looks at the worker again and again while a session is open.
pub(super) async fn poll_worker(guard: Rc<RunGuard>) {
    let mut is_answered = false;
    loop {
        let due = guard.poll_due.listen();
        let target = plan_poll(&guard, is_answered);
        let Some((worker, call)) = target else {
            with_timeout(&*guard.clock, IDLE_CHECK_INTERVAL, due).await;
            continue;
        };
        let sent = guard.clock.now();
        let looking = guard.worker.poll(&worker, call);
        pin_mut!(looking);
        match select(looking, due).await {
            Either::Left((result, _)) => {
                is_answered = result.is_ok();
                handle_result(&guard, &worker, call, sent, result).await;
            }
            Either::Right(_) => guard.clock.sleep(MIN_POLL_GAP).await,
        }
    }
}

/// Plans the next look. It waits for an end only when the worker has answered the one before, so that
/// a lost answer does not leave the worker's clock and runs unknown for a whole wait.
fn plan_poll(
    guard: &RunGuard,
    is_answered: bool,
) -> Option<(WorkerAddress, PollRequest)> {
    let book = guard.tracker.borrow();
    let session = book.session?;
    let worker = book.worker.clone()?;
    let is_first = !book.is_polled();
    let call = PollRequest {
        token: session.token,
        acknowledged_end: book.acknowledged_end,
        deadline_ms: book.deadline_ms(guard.clock.now()),
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
    if matches!(result, Err(RunWorkerError::NotListening(_))) {
        guard.record_refused_connection(worker);
    } else {
        guard.tracker.borrow_mut().record_connection();
    }
    match result {
        Ok(answer) if answer.born_ms.is_none_or(|b| b == worker.life.born_ms) => {
            let now = guard.clock.now();
            if guard.tracker.borrow().worker.as_ref() != Some(worker) {
                return;
            }
            let token = call.token;
            let is_changed = guard
                .tracker
                .borrow_mut()
                .apply_poll(token, sent, now, answer);
            let waits = guard.tracker.borrow().has_unrecorded_ends();
            if is_changed {
                guard.changed.notify(usize::MAX);
            }
            let due = guard.poll_due.listen();
            let pause = if waits { POLL_PAUSE } else { MIN_POLL_GAP };
            with_timeout(&*guard.clock, pause, due).await;
        }
        Ok(answer) => {
            tracing::info!(id = %worker.life.id, born_ms = ?answer.born_ms, "a new life of the worker answered; its heartbeat is awaited");
            guard.clock.sleep(POLL_PAUSE).await;
        }
        Err(e) => {
            tracing::warn!(id = %worker.life.id, token = call.token, error = %e, "the worker cannot be looked at");
            guard.clock.sleep(POLL_PAUSE).await;
        }
    }
}
