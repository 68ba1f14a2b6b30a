//! The guard's part in running subtasks: polls its worker, extends the worker's lease, and carries
//! out the orders of the scheduling entry, which is the leader.

mod keep_registered;
mod order_task;
mod poll_task;
mod run_guard;
mod run_tracker;
mod run_worker;
mod session;
mod session_task;
mod worker_end;
mod worker_heartbeat;

pub use {
    keep_registered::keep_registered,
    run_guard::RunGuard,
    run_tracker::RunTracker,
    run_worker::{PollRequest, PollResponse, RunWorker, RunWorkerError, WorkerAddress},
    session::{Session, WorkerOrder},
    worker_end::longest_lease,
    worker_heartbeat::{WorkerHeartbeat, WorkerInfo},
};
