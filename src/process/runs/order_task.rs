//! Carries out the orders of the scheduling entry, one task for each.

use {
    super::{RunGuard, RunWorkerError, WorkerAddress},
    crate::{
        connection::{RunStart, StartRefusal},
        prelude::*,
        process::clock::with_timeout,
        request::RunRef,
    },
};

/// The maximum number of times that a start without an answer is sent.
const MAX_START_ATTEMPTS: u32 = 3;

/// The time after which no further attempt of a start is sent. Together with the timeout of a call,
/// it stays below the time for which the first members of a gang wait for the others.
const MAX_START_TIME: Duration = Duration::from_millis(900);

/// The pause between two attempts to stop a run.
const STOP_RETRY: Duration = Duration::from_millis(100);

/// Starts a run. A start without an answer is sent again, which has no effect if it was carried
/// out. If it remains unknown whether the run was started, it is stopped.
pub(super) async fn execute_start(
    guard: Rc<RunGuard>,
    worker: WorkerAddress,
    token: u64,
    start: RunStart,
) {
    let run = start.run;
    let began = guard.clock.now();
    let mut tries = 0;
    let result = loop {
        tries += 1;
        let time_left = MAX_START_TIME.saturating_sub(guard.clock.now().since(began));
        let result = try_start(&guard, &worker, token, &start, time_left).await;
        let is_unanswered = matches!(result, Err(RunWorkerError::NoAnswer(_)));
        if !is_unanswered || tries == MAX_START_ATTEMPTS || !is_current(&guard, &worker, token) {
            break result;
        }
    };
    let is_current = is_current(&guard, &worker, token);
    let waited_ms = Millis::from(guard.clock.now().since(began)).0;
    tracing::info!(%run, token, tries, waited_ms, is_current, error = ?result.as_ref().err(), "start carried out");
    if !is_current {
        // The first poll of the current session shows whether the run exists.
        return;
    }
    match result {
        Ok(()) => guard
            .tracker
            .borrow_mut()
            .confirm_start(run, guard.clock.now()),
        // No attempt preceded this one, so a refused run was not started.
        Err(e) if tries == 1 && refusal(&e).is_some() => {
            let reason = refusal(&e).unwrap_or(StartRefusal::NotReached);
            guard.tracker.borrow_mut().refuse_start(run, reason);
        }
        // An earlier attempt may have been carried out, and the run may even have ended since. The
        // stop makes the worker refuse attempts that arrive later, and the next poll shows how the
        // run ended.
        Err(_) => {
            if guard.tracker.borrow_mut().begin_stop(run) {
                tracing::info!(%run, token, "start without an answer is undone");
            }
            execute_stop(guard.clone(), worker, token, run).await;
        }
    }
    guard.changed.notify(usize::MAX);
}

/// Sends a start once one of the calls before it is over, within `time_left`.
async fn try_start(
    guard: &RunGuard,
    worker: &WorkerAddress,
    token: u64,
    start: &RunStart,
    time_left: Duration,
) -> Result<(), RunWorkerError> {
    let acquiring = guard.start_slots.acquire();
    let Some(_slot) = with_timeout(&*guard.clock, time_left, acquiring).await else {
        return Err(RunWorkerError::NotReached(
            "the worker is busy with earlier starts".to_owned(),
        ));
    };
    if !is_current(guard, worker, token) {
        return Err(RunWorkerError::NotReached(
            "the session or the worker has changed".to_owned(),
        ));
    }
    let deadline = guard.tracker.borrow_mut().deadline_ms(guard.clock.now());
    match deadline {
        Some(deadline_ms) => guard.worker.start(worker, token, deadline_ms, start).await,
        None => Err(RunWorkerError::Refused(StartRefusal::Late)),
    }
}

/// Returns why a start was certainly not carried out; `None` if it may have been.
fn refusal(error: &RunWorkerError) -> Option<StartRefusal> {
    match error {
        RunWorkerError::Refused(reason) => Some(*reason),
        RunWorkerError::NotReached(_)
        | RunWorkerError::NotListening(_)
        | RunWorkerError::OtherLife => Some(StartRefusal::NotReached),
        RunWorkerError::NoAnswer(_) | RunWorkerError::Malformed(_) => None,
    }
}

/// Stops a run. Repeats the call until the worker acknowledges it, or until the session or the
/// worker is no longer the current one.
pub(super) async fn execute_stop(
    guard: Rc<RunGuard>,
    worker: WorkerAddress,
    token: u64,
    run: RunRef,
) {
    loop {
        let slot = guard.stop_slots.acquire().await;
        if !is_current(&guard, &worker, token) {
            return;
        }
        let result = guard.worker.stop(&worker, token, run).await;
        drop(slot);
        match result {
            Ok(()) => {
                tracing::info!(%run, token, "stop acknowledged by the worker");
                guard
                    .tracker
                    .borrow_mut()
                    .confirm_stop(run, guard.clock.now());
                guard.poll_due.notify(usize::MAX);
                return;
            }
            Err(e) => {
                tracing::warn!(%run, token, error = %e, "stop not acknowledged by the worker; trying again");
                guard.clock.sleep(STOP_RETRY).await;
            }
        }
    }
}

/// Returns whether `worker` and the session of `token` are still the current ones.
fn is_current(
    guard: &RunGuard,
    worker: &WorkerAddress,
    token: u64,
) -> bool {
    let tracker = guard.tracker.borrow();
    tracker.is_worker(worker) && tracker.is_current_token(token)
}
