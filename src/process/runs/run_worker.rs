//! The interface of a worker that runs subtasks.

use {
    crate::{
        connection::{RunEnd, RunStart, RunStatus, StartRefusal, WorkerIncarnation},
        prelude::*,
        request::RunRef,
    },
    derive_more::{Display, Error},
};

/// The address and the incarnation of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerAddress {
    /// The address at which the worker listens.
    pub address: Arc<str>,
    /// The incarnation that is meant.
    pub life: WorkerIncarnation,
}

/// A request for all that runs and has ended on a worker, which also extends the worker's lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollRequest {
    /// The fencing token.
    pub token: u64,
    /// The number of the last acknowledged end; the worker drops the ends up to it.
    pub acknowledged_end: u64,
    /// The end of the worker's lease, in milliseconds by the worker's clock; `None` leaves the
    /// lease as it is.
    pub deadline_ms: Option<u64>,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// The response to a poll.
#[derive(Clone, Debug, PartialEq)]
pub struct PollResponse {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the worker started, in milliseconds since the Unix epoch, if the response has it.
    pub born_ms: Option<u64>,
    /// The runs on the worker.
    pub running: Vec<RunStatus>,
    /// The ends that are not acknowledged yet, or the first of them.
    pub ended: Vec<RunEnd>,
    /// Whether the response has all runs and all unacknowledged ends. Otherwise, it is unknown how a
    /// run has ended that it does not list.
    pub is_complete: bool,
}

/// Why a call to a worker failed.
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
    /// Another incarnation of the worker listens at the address.
    #[display("another incarnation of the worker answered")]
    OtherLife,
    /// The worker refused the call.
    #[display("refused: {_0:?}")]
    Refused(#[error(not(source))] StartRefusal),
    /// The response cannot be decoded.
    #[display("malformed response: {_0}")]
    Malformed(#[error(not(source))] String),
}

/// The calls that a guard makes to its worker.
pub trait RunWorker {
    /// Lists the runs and the ends on the worker, and extends its lease.
    ///
    /// # Errors
    /// Returns a [`RunWorkerError`] if the call fails or the worker refuses it.
    fn poll<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        call: PollRequest,
    ) -> LocalBoxFuture<'a, Result<PollResponse, RunWorkerError>>;

    /// Starts a run under a fencing token and a deadline by the worker's clock.
    ///
    /// # Errors
    /// Returns a [`RunWorkerError`] if the call fails or the worker refuses it.
    fn start<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: u64,
        deadline_ms: u64,
        start: &'a RunStart,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>>;

    /// Stops a run. Afterwards the worker refuses the run if its start arrives late.
    ///
    /// # Errors
    /// Returns a [`RunWorkerError`] if the call fails or the worker refuses it.
    fn stop<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: u64,
        run: RunRef,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>>;
}
