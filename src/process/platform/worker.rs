//! The worker instance beside a guard.

use {
    crate::prelude::*,
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
};

/// The fencing term of one start of a job. A later owner's term is higher than any of an earlier
/// owner.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{ownership}.{start}")]
pub struct Term {
    /// The number of the ownership on the log, counted from 1.
    pub ownership: u32,
    /// The number of the start under that ownership, counted from 1.
    pub start: u32,
}

/// The identity of one task: one member of one start of a job.
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

/// What a worker needs to start a task.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskStart {
    /// The task.
    pub id: TaskId,
    /// The job's kind.
    pub kind: KindName,
    /// The accelerators that the task may use.
    pub accelerators: AcceleratorSet,
    /// The progress to start from, in milliseconds of run time, as the last checkpoint had it.
    pub progress_ms: u64,
    /// The job's payload.
    pub payload: Bytes,
    /// How long the task runs without a renewal of its lease, in milliseconds.
    pub lease_ms: u64,
}

/// How a task ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskEnd {
    /// The task finished with a result.
    Finished(Bytes),
    /// The task failed with a message.
    Failed(String),
    /// The task was stopped, or its lease lapsed; the progress of its last checkpoint is given in
    /// milliseconds of run time.
    Stopped {
        /// Milliseconds of run time that a checkpoint holds.
        progress_ms: u64,
    },
}

/// What a worker tells of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskState {
    /// The task runs.
    Running {
        /// The share of its accelerators that the task uses, in percent; lags behind.
        usage_percent: u32,
    },
    /// The task has ended.
    Ended(TaskEnd),
    /// The worker knows no such task.
    Unknown,
}

/// One request for the upstream's service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunCall {
    /// The request's identity, which the upstream repeats in its answer.
    pub id: RequestId,
    /// The request's kind.
    pub kind: KindName,
    /// The request's body.
    pub body: Bytes,
    /// The longest time the upstream may take, in milliseconds.
    pub timeout_ms: u64,
    /// The largest answer, in bytes.
    pub max_answer: u64,
}

/// The upstream's answer to one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunAnswer {
    /// The identity of the answered request.
    pub id: RequestId,
    /// The HTTP status.
    pub status: u16,
    /// The answer's body.
    pub body: Bytes,
}

/// Why a worker gave no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum WorkerError {
    /// The worker was not reached, so the call had no effect.
    #[display("the worker was not reached")]
    NotReached,
    /// The worker refused the call, so it had no effect.
    #[display("the worker refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// The call took effect, but its answer is larger than allowed.
    #[display("the worker's answer is too large")]
    AnswerTooLarge,
    /// The answer was lost or did not match, so the call may have had its effect.
    #[display("the worker's answer was lost: {_0}")]
    AnswerLost(#[error(not(source))] String),
}

/// A client of the worker that a guard stands beside.
pub trait Worker {
    /// Runs one request and returns its whole answer.
    ///
    /// # Errors
    /// [`WorkerError::AnswerLost`] when the request may have run.
    fn run(
        &self,
        call: RunCall,
    ) -> LocalBoxFuture<'_, Result<RunAnswer, WorkerError>>;

    /// Starts a task; starting it again with the same identity changes nothing.
    ///
    /// # Errors
    /// [`WorkerError::Refused`] when the worker cannot start it.
    fn start(
        &self,
        task: TaskStart,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>>;

    /// Renews a task's lease and returns its state, waiting up to `wait` for its end.
    ///
    /// # Errors
    /// [`WorkerError::NotReached`] when the worker gave no answer.
    fn renew(
        &self,
        id: TaskId,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<TaskState, WorkerError>>;

    /// Checkpoints a task and returns the progress that the checkpoint holds, in milliseconds.
    ///
    /// # Errors
    /// [`WorkerError::Refused`] when the task cannot be checkpointed.
    fn checkpoint(
        &self,
        id: TaskId,
    ) -> LocalBoxFuture<'_, Result<u64, WorkerError>>;

    /// Limits a task to a share of its processing, in percent.
    ///
    /// # Errors
    /// [`WorkerError::NotReached`] when the worker gave no answer.
    fn throttle(
        &self,
        id: TaskId,
        percent: u32,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>>;

    /// Stops a task; stopping an unknown or ended task changes nothing.
    ///
    /// # Errors
    /// [`WorkerError::NotReached`] when the worker gave no answer.
    fn stop(
        &self,
        id: TaskId,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>>;
}
