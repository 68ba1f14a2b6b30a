//! Interfaces of the platform's append-only log and of its workers, as traits with HTTP clients.

mod http_log;
mod http_worker;
mod log;
mod worker;

pub use {
    http_log::HttpLog,
    http_worker::HttpWorker,
    log::{Batch, LogError, LogRecord, Offset, PlatformLog},
    worker::{
        RunAnswer, RunCall, TaskEnd, TaskId, TaskStart, TaskState, Term, Worker, WorkerError,
    },
};
