//! Carries out one order each.

use {
    super::{RunGuard, RunWorkerError, WorkerAddress},
    crate::{
        connection::{RunStart, StartRefusal},
        prelude::*,
        request::RunRef,
    },
};

/// How often a start that gets no answer is sent. With the longest time of a call it stays below the
/// time for which the first members of a gang wait for the others.
const MAX_START_ATTEMPTS: u32 = 3;

/// The pause between two tries to stop a run.
const STOP_RETRY: Duration = Duration::from_millis(100);

/// Starts a run. A start without an answer is sent again, which changes nothing if it was carried out;
/// one that never gets an answer is undone.
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
        let result = try_start(&guard, &worker, token, &start).await;
        let is_lost = matches!(result, Err(RunWorkerError::NoAnswer(_)));
        if !is_lost || tries == MAX_START_ATTEMPTS || !is_current(&guard, &worker, token) {
            break result;
        }
    };
    let is_current = is_current(&guard, &worker, token);
    let waited_ms = Millis::from(guard.clock.now().since(began)).0;
    tracing::info!(%run, token, tries, waited_ms, is_current, error = ?result.as_ref().err(), "start carried out");
    if !is_current {
        // The first look of the session in force tells what became of it.
        return;
    }
    match result {
        Ok(()) => guard
            .tracker
            .borrow_mut()
            .confirm_start(run, guard.clock.now()),
        // Nothing was sent before, so what is refused did not run.
        Err(e) if tries == 1 && refusal(&e).is_some() => {
            let reason = refusal(&e).unwrap_or(StartRefusal::NotReached);
            guard.tracker.borrow_mut().refuse_start(run, reason);
        }
        // An earlier try may have been carried out, and the run may even have ended since; the stop
        // keeps later ones out, and the next look tells how it ended.
        Err(_) => {
            if guard.tracker.borrow_mut().begin_stop(run) {
                tracing::info!(%run, token, "start without an answer is undone");
            }
            execute_stop(guard.clone(), worker, token, run).await;
        }
    }
    guard.changed.notify(usize::MAX);
}

async fn try_start(
    guard: &RunGuard,
    worker: &WorkerAddress,
    token: u64,
    start: &RunStart,
) -> Result<(), RunWorkerError> {
    let deadline = guard.tracker.borrow().deadline_ms(guard.clock.now());
    match deadline {
        Some(deadline_ms) => guard.worker.start(worker, token, deadline_ms, start).await,
        None => Err(RunWorkerError::Refused(StartRefusal::Late)),
    }
}

/// Returns why a start was surely not carried out; `None` when it may have been.
fn refusal(error: &RunWorkerError) -> Option<StartRefusal> {
    match error {
        RunWorkerError::Refused(reason) => Some(*reason),
        RunWorkerError::NotReached(_)
        | RunWorkerError::NotListening(_)
        | RunWorkerError::OtherLife => Some(StartRefusal::NotReached),
        RunWorkerError::NoAnswer(_) | RunWorkerError::Malformed(_) => None,
    }
}

/// Stops a run; tries until the worker acknowledges it or the session is over.
pub(super) async fn execute_stop(
    guard: Rc<RunGuard>,
    worker: WorkerAddress,
    token: u64,
    run: RunRef,
) {
    loop {
        if !is_current(&guard, &worker, token) {
            return;
        }
        match guard.worker.stop(&worker, token, run).await {
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
                tracing::warn!(%run, token, error = %e, "stop not acknowledged, trying again");
                guard.clock.sleep(STOP_RETRY).await;
            }
        }
    }
}

/// Tells whether an order is still for the worker and the session in force.
fn is_current(
    guard: &RunGuard,
    worker: &WorkerAddress,
    token: u64,
) -> bool {
    let book = guard.tracker.borrow();
    book.worker.as_ref() == Some(worker) && book.is_current_token(token)
}
