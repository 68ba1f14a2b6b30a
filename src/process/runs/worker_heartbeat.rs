//! The heartbeats that a guard receives from its worker.

use {
    super::WorkerAddress,
    crate::{prelude::*, request::Resources},
};

/// A worker's heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerHeartbeat {
    /// The address and the incarnation of the worker.
    pub worker: WorkerAddress,
    /// The number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// The worker's service, resources and status.
    pub info: WorkerInfo,
}

/// What a worker announces about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// The service that the worker belongs to.
    pub service: Arc<str>,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// The labels of the worker.
    pub labels: Vec<Arc<str>>,
    /// The minimum time until the worker leaves, in milliseconds; `None` if it is not leaving.
    pub leaving_ms: Option<u64>,
}
