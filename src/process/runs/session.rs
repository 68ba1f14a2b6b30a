//! A session as its guard keeps it.

use crate::{connection::RunStart, prelude::*, request::RunRef};

/// A call that a message of the session asks for.
#[derive(Clone, Debug)]
pub enum WorkerOrder {
    /// Start a run.
    Start(RunStart),
    /// Stop a run.
    Stop(RunRef),
}

/// One session with the entry that schedules.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Session {
    /// The fencing token.
    pub token: u64,
    /// The number of the last message that was carried out.
    pub last_handled: u64,
    /// Until when the worker's lease may be extended.
    pub lease_expires_at: Millis,
    /// How long the worker may run on without its guard.
    pub worker_lease: Millis,
}
