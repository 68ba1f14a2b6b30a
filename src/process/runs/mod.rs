//! A guard's part in running subtasks: it looks at its worker, extends the worker's lease, and
//! carries out the orders of the entry that schedules.

mod look_task;
mod order_task;
mod run_book;
mod run_guard;
mod run_worker;
mod session_task;

pub use {
    run_book::{OrderedCall, RunBook, Session, WorkerBeat, WorkerInfo},
    run_guard::RunGuard,
    run_worker::{LookAnswer, LookCall, RunWorker, RunWorkerError, WorkerAddress},
};
