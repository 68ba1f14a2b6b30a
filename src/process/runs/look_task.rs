//! Looks at the worker for as long as the process lives.

use {
    super::{LookCall, RunGuard, RunWorkerError, WorkerAddress},
    crate::{prelude::*, process::clock::with_timeout},
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
};

/// How long a look waits for an end; also how often the worker's lease is extended at least.
const LOOK_WAIT: Duration = Duration::from_millis(900);

/// The pause between looks while ends wait to be recorded, and after a failed look.
const LOOK_PAUSE: Duration = Duration::from_millis(150);

/// The least pause between two looks, so that events do not bring a storm of looks.
const LOOK_GAP: Duration = Duration::from_millis(10);

/// How often the task looks whether there is a worker and a session.
const IDLE_POLL: Duration = Duration::from_millis(250);

/// Looks at the worker again and again while a session is open.
pub(super) async fn follow_worker(guard: Rc<RunGuard>) {
    let mut is_answered = false;
    loop {
        let due = guard.look_due.listen();
        let target = plan(&guard, is_answered);
        let Some((worker, call)) = target else {
            with_timeout(&*guard.clock, IDLE_POLL, due).await;
            continue;
        };
        let sent = guard.clock.now();
        let looking = guard.worker.look(&worker, call);
        pin_mut!(looking);
        match select(looking, due).await {
            Either::Left((result, _)) => {
                is_answered = result.is_ok();
                take_result(&guard, &worker, call, sent, result).await;
            }
            Either::Right(_) => guard.clock.sleep(LOOK_GAP).await,
        }
    }
}

/// Plans the next look. It waits for an end only when the worker has answered the one before, so that
/// a lost answer does not leave the worker's clock and runs unknown for a whole wait.
fn plan(
    guard: &RunGuard,
    is_answered: bool,
) -> Option<(WorkerAddress, LookCall)> {
    let book = guard.book.borrow();
    let session = book.session?;
    let worker = book.worker.clone()?;
    let is_first = !book.is_looked_at();
    let call = LookCall {
        token: session.token,
        noted_end: book.noted_end,
        deadline_ms: book.deadline_ms(guard.clock.now()),
        wait: if is_first || !is_answered {
            Duration::ZERO
        } else {
            LOOK_WAIT
        },
    };
    Some((worker, call))
}

async fn take_result(
    guard: &RunGuard,
    worker: &WorkerAddress,
    call: LookCall,
    sent: Millis,
    result: Result<super::LookAnswer, RunWorkerError>,
) {
    if matches!(result, Err(RunWorkerError::NotListening(_))) {
        guard.note_refused_connection(worker);
    } else {
        guard.book.borrow_mut().take_connection();
    }
    match result {
        Ok(answer) if answer.born_ms.is_none_or(|b| b == worker.life.born_ms) => {
            let now = guard.clock.now();
            if guard.book.borrow().worker.as_ref() != Some(worker) {
                return;
            }
            let token = call.token;
            let is_changed = guard.book.borrow_mut().take_look(token, sent, now, answer);
            let waits = guard.book.borrow().has_unrecorded_ends();
            if is_changed {
                guard.changed.notify(usize::MAX);
            }
            let due = guard.look_due.listen();
            let pause = if waits { LOOK_PAUSE } else { LOOK_GAP };
            with_timeout(&*guard.clock, pause, due).await;
        }
        Ok(answer) => {
            tracing::info!(id = %worker.life.id, born_ms = ?answer.born_ms, "a new life of the worker answered; its heartbeat is awaited");
            guard.clock.sleep(LOOK_PAUSE).await;
        }
        Err(e) => {
            tracing::warn!(id = %worker.life.id, token = call.token, error = %e, "the worker cannot be looked at");
            guard.clock.sleep(LOOK_PAUSE).await;
        }
    }
}
