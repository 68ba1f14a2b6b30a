//! Carries out one order each.

use {
    super::{RunGuard, RunWorkerError, WorkerAddress},
    crate::{
        connection::{RunStart, StartRefusal},
        prelude::*,
        request::RunRef,
    },
};

/// The pause between two tries to stop a run.
const STOP_RETRY: Duration = Duration::from_millis(100);

/// Starts a run; undoes it when its start gets no answer.
pub(super) async fn carry_out_start(
    guard: Rc<RunGuard>,
    worker: WorkerAddress,
    token: u64,
    start: RunStart,
) {
    let run = start.run;
    let now = guard.clock.now();
    let deadline = guard.book.borrow().deadline_ms(now);
    let result = match deadline {
        Some(deadline_ms) => {
            guard
                .worker
                .start(&worker, token, deadline_ms, &start)
                .await
        }
        None => Err(RunWorkerError::Refused(StartRefusal::Late)),
    };
    let is_current = is_current(&guard, &worker, token);
    let waited_ms = Millis::from(guard.clock.now().since(now)).0;
    tracing::info!(%run, token, deadline_ms = deadline, waited_ms, is_current, error = ?result.as_ref().err(), "start carried out");
    if !is_current {
        // The first look of the session in force tells what became of it.
        return;
    }
    match result {
        Ok(()) => guard
            .book
            .borrow_mut()
            .confirm_start(run, guard.clock.now()),
        Err(RunWorkerError::Refused(reason)) => guard.book.borrow_mut().refuse_start(run, reason),
        Err(RunWorkerError::NotReached(_) | RunWorkerError::OtherLife) => {
            guard
                .book
                .borrow_mut()
                .refuse_start(run, StartRefusal::NotReached);
        }
        Err(RunWorkerError::NoAnswer(_) | RunWorkerError::Malformed(_)) => {
            if guard.book.borrow_mut().begin_stop(run) {
                tracing::info!(%run, token, "start without an answer is undone");
            }
            carry_out_stop(guard.clone(), worker, token, run).await;
        }
    }
    guard.changed.notify(usize::MAX);
}

/// Stops a run; tries until the worker acknowledges it or the session is over.
pub(super) async fn carry_out_stop(
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
                guard.book.borrow_mut().confirm_stop(run, guard.clock.now());
                guard.look_due.notify(usize::MAX);
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
    let book = guard.book.borrow();
    book.worker.as_ref() == Some(worker) && book.is_current(token)
}
