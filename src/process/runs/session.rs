//! A guard's record of its session with the scheduling entry.

use crate::{connection::RunStart, prelude::*, request::RunRef};

/// A call to the worker that a message of the session orders.
#[derive(Clone, Debug)]
pub enum WorkerOrder {
    /// Starts a run.
    Start(RunStart),
    /// Stops a run.
    Stop(RunRef),
}

/// One session with the scheduling entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Session {
    /// The fencing token.
    pub token: u64,
    /// The number of the last message that was applied.
    pub last_handled: u64,
    /// When the session's lease expires; until then, the guard may extend the worker's lease.
    pub lease_expires_at: Millis,
    /// How long the worker may continue its runs without contact to its guard.
    pub worker_lease: Millis,
}
