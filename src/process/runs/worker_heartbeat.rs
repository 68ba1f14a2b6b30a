//! What a guard hears from its worker.

use {
    super::WorkerAddress,
    crate::{prelude::*, request::Resources},
};

/// What a worker says of itself in a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerHeartbeat {
    /// Where it is, and its life.
    pub worker: WorkerAddress,
    /// The heartbeat's number within the life.
    pub sequence: u64,
    /// The worker itself.
    pub info: WorkerInfo,
}

/// A worker's standing.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// The service that it works for.
    pub service: Arc<str>,
    /// What it has in all.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<Arc<str>>,
    /// Whether it leaves, with the least time that is left, in milliseconds.
    pub leaving_ms: Option<u64>,
}
