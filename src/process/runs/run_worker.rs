//! The border to a worker that runs subtasks.

use {
    crate::{
        connection::{RunEnd, RunStart, RunStatus, StartRefusal, WorkerLife},
        prelude::*,
        request::RunRef,
    },
    derive_more::{Display, Error},
};

/// Where a worker is, and which life of it is meant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerAddress {
    /// Its address.
    pub address: Arc<str>,
    /// Its life.
    pub life: WorkerLife,
}

/// A look at all that runs on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollRequest {
    /// The fencing token.
    pub token: u64,
    /// The number of the last end that is recorded; the worker forgets ends up to it.
    pub acknowledged_end: u64,
    /// Until when everything may run on, in milliseconds by the worker's clock.
    pub deadline_ms: Option<u64>,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// What runs and what has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct PollResponse {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the worker started, if it says so, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
    /// What runs.
    pub running: Vec<RunStatus>,
    /// What has ended, the recorded ends left out.
    pub ended: Vec<RunEnd>,
}

/// Why a worker did not do what it was asked.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RunWorkerError {
    /// The worker was not reached, so nothing was done.
    #[display("not reached: {_0}")]
    NotReached(#[error(not(source))] String),
    /// Nothing listens at the worker's address, so nothing was done.
    #[display("nothing listens: {_0}")]
    NotListening(#[error(not(source))] String),
    /// The call may have been carried out or may still be.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
    /// Another life of the worker answers at its address.
    #[display("another life of the worker answered")]
    OtherLife,
    /// The worker refused.
    #[display("refused: {_0:?}")]
    Refused(#[error(not(source))] StartRefusal),
    /// The answer cannot be read.
    #[display("malformed answer: {_0}")]
    Malformed(#[error(not(source))] String),
}

/// A worker, as its guard calls it.
pub trait RunWorker {
    /// Looks at what runs and extends the lease.
    ///
    /// # Errors
    /// [`RunWorkerError`].
    fn poll<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        call: PollRequest,
    ) -> LocalBoxFuture<'a, Result<PollResponse, RunWorkerError>>;

    /// Starts a run under a fencing token and a deadline by the worker's clock.
    ///
    /// # Errors
    /// [`RunWorkerError`].
    fn start<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: u64,
        deadline_ms: u64,
        start: &'a RunStart,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>>;

    /// Stops a run; afterwards the worker refuses it, should its start still be on the way.
    ///
    /// # Errors
    /// [`RunWorkerError`].
    fn stop<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: u64,
        run: RunRef,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>>;
}
