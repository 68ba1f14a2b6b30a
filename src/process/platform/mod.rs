//! What the platform gives: its append-only log and its workers, as trait objects.

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
