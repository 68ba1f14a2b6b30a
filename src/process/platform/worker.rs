//! The interface of a guard's worker.

use {
    crate::prelude::*,
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
};

/// The fencing term of one start of a job. All terms of a later owner are higher than those of
/// earlier owners.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{ownership}.{start}")]
pub struct Term {
    /// The number of the ownership in the log, counted from 1.
    pub ownership: u32,
    /// The number of the start under that ownership, counted from 1.
    pub start: u32,
}

/// The ID of a task, which is one member of one start of a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job}-{term}-{member}")]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The fencing term of this start of the job.
    pub term: Term,
    /// The member's index in the gang, counted from 0.
    pub member: u32,
}

/// A call that starts a task.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskStart {
    /// The ID of the task.
    pub id: TaskId,
    /// The job's kind.
    pub kind: KindName,
    /// The accelerators that the task may use.
    pub accelerators: AcceleratorSet,
    /// The progress of the last checkpoint, from which the task resumes, in milliseconds of run
    /// time.
    pub progress_ms: u64,
    /// The job's payload.
    pub payload: Bytes,
    /// How long the task runs unless its lease is renewed, in milliseconds.
    pub lease_ms: u64,
}

/// The end of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskEnd {
    /// The task finished with a result.
    Finished(Bytes),
    /// The task failed with a message.
    Failed(String),
    /// The task was stopped, or its lease expired.
    Stopped {
        /// The progress of the last checkpoint, in milliseconds of run time.
        progress_ms: u64,
    },
}

/// The state of a task, as its worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskState {
    /// The task is running.
    Running {
        /// The share of its accelerators that the task uses, in percent. The value may be out of
        /// date.
        usage_percent: u32,
    },
    /// The task has ended.
    Ended(TaskEnd),
    /// The worker has no such task.
    Unknown,
}

/// A request that the upstream runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunCall {
    /// The request ID, which the upstream repeats in its answer.
    pub id: RequestId,
    /// The request's kind.
    pub kind: KindName,
    /// The request's body.
    pub body: Bytes,
    /// The time limit of the call, in milliseconds.
    pub timeout_ms: u64,
    /// The size limit of the answer, in bytes.
    pub max_answer: u64,
}

/// The upstream's answer to a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunAnswer {
    /// The ID of the answered request.
    pub id: RequestId,
    /// The HTTP status.
    pub status: u16,
    /// The answer's body.
    pub body: Bytes,
}

/// Why a call to a worker failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum WorkerError {
    /// The worker was not reached, so the call had no effect.
    #[display("the worker was not reached")]
    NotReached,
    /// The worker refused the call, so it had no effect.
    #[display("the worker refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// The call took effect, but its answer exceeds the size limit.
    #[display("the worker's answer is too large")]
    AnswerTooLarge,
    /// The answer was lost or did not match the call, which may have taken effect.
    #[display("the worker's answer was lost: {_0}")]
    AnswerLost(#[error(not(source))] String),
}

/// A client of a guard's worker.
pub trait Worker {
    /// Runs a request and returns its whole answer.
    ///
    /// # Errors
    /// Returns [`WorkerError::AnswerLost`] or [`WorkerError::AnswerTooLarge`] if the request may
    /// have run, and another [`WorkerError`] if it has not.
    fn run(
        &self,
        call: RunCall,
    ) -> LocalBoxFuture<'_, Result<RunAnswer, WorkerError>>;

    /// Starts a task. A repeated start with the same ID has no effect.
    ///
    /// # Errors
    /// Returns [`WorkerError::Refused`] if the worker cannot start the task, and another
    /// [`WorkerError`] if the call is not answered.
    fn start(
        &self,
        task: TaskStart,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>>;

    /// Renews a task's lease and returns its state, after waiting up to `wait` for its end.
    ///
    /// # Errors
    /// Returns a [`WorkerError`] if the worker does not answer or refuses the call.
    fn renew(
        &self,
        id: TaskId,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<TaskState, WorkerError>>;

    /// Checkpoints a task and returns the progress in the checkpoint, in milliseconds of run time.
    ///
    /// # Errors
    /// Returns [`WorkerError::Refused`] if the task cannot be checkpointed, and another
    /// [`WorkerError`] if the call is not answered.
    fn checkpoint(
        &self,
        id: TaskId,
    ) -> LocalBoxFuture<'_, Result<u64, WorkerError>>;

    /// Limits a task to a share of its processing rate, in percent.
    ///
    /// # Errors
    /// Returns a [`WorkerError`] if the worker does not answer or refuses the call.
    fn throttle(
        &self,
        id: TaskId,
        percent: u32,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>>;

    /// Stops a task. Stopping an unknown or ended task has no effect.
    ///
    /// # Errors
    /// Returns a [`WorkerError`] if the worker does not answer or refuses the call.
    fn stop(
        &self,
        id: TaskId,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>>;
}
