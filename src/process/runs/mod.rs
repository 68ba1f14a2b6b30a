//! A guard's part in running subtasks: it looks at its worker, extends the worker's lease, and
//! carries out the orders of the entry that schedules.

mod keep_registered;
mod look_task;
mod order_task;
mod run_book;
mod run_guard;
mod run_worker;
mod session;
mod session_task;
mod worker_beat;

pub use {
    keep_registered::keep_registered,
    run_book::RunTracker,
    run_guard::RunGuard,
    run_worker::{PollRequest, PollResponse, RunWorker, RunWorkerError, WorkerAddress},
    session::{Session, WorkerOrder},
    worker_beat::{WorkerHeartbeat, WorkerInfo},
};
