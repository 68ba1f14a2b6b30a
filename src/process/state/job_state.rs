//! State of a job as folded from the log.

use {
    super::JobEnd,
    crate::{prelude::*, request::JobSpec},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Phase of a job's life cycle.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    /// Accepted and not yet ended.
    #[display("open")]
    Open,
    /// Cancelled, but not yet ended: tasks may still be stopping.
    #[display("cancelling")]
    Cancelling,
    /// Ended with a result.
    #[display("finished")]
    Finished,
    /// Ended without a result.
    #[display("failed")]
    Failed,
    /// Ended because it was cancelled.
    #[display("cancelled")]
    Cancelled,
}

/// A job with its current owner and, once it has ended, its outcome.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobState {
    /// The job.
    pub spec: Rc<JobSpec>,
    /// The entry that runs it.
    pub owner: EntryName,
    /// Epoch of the owner's process that recorded the ownership. After a restart the owner has to
    /// take the job over again.
    pub owner_epoch: u64,
    /// Number of the ownership, counted from 1.
    pub ownership: u32,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// How the job ended.
    pub end: Option<JobEnd>,
}

impl JobState {
    /// Returns whether the job has not ended.
    pub fn is_open(&self) -> bool {
        self.end.is_none()
    }

    /// Returns the size of the payload and the result or failure reason, in bytes.
    pub(super) fn stored_bytes(&self) -> usize {
        let result = match &self.end {
            Some(JobEnd::Finished(result)) => result.len(),
            Some(JobEnd::Failed(reason)) => reason.len(),
            Some(JobEnd::Cancelled) | None => 0,
        };
        self.spec.payload.len() + result
    }

    /// Returns the phase of the job's life cycle.
    pub fn status(&self) -> JobStatus {
        match &self.end {
            None if self.cancelled => JobStatus::Cancelling,
            None => JobStatus::Open,
            Some(JobEnd::Finished(_)) => JobStatus::Finished,
            Some(JobEnd::Failed(_)) => JobStatus::Failed,
            Some(JobEnd::Cancelled) => JobStatus::Cancelled,
        }
    }
}
