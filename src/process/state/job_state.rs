//! A job as the log tells of it.

use {
    super::JobEnd,
    crate::{prelude::*, request::JobSpec},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    /// Accepted and not yet ended.
    #[display("open")]
    Open,
    /// Cancelled, with its tasks perhaps still stopping.
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

/// A job with its owner and, once it has ended, its end.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobState {
    /// The job.
    pub spec: Rc<JobSpec>,
    /// The entry that runs it.
    pub owner: EntryName,
    /// The start of that entry which took the job; a later start of it takes the job over anew.
    pub owner_epoch: u64,
    /// The number of the ownership, counted from 1.
    pub ownership: u32,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// How it ended.
    pub end: Option<JobEnd>,
}

impl JobState {
    /// Tells whether the job has not ended.
    pub fn is_open(&self) -> bool {
        self.end.is_none()
    }

    /// Returns the bytes of its payload and result.
    pub(super) fn stored_bytes(&self) -> usize {
        let result = match &self.end {
            Some(JobEnd::Finished(result)) => result.len(),
            Some(JobEnd::Failed(reason)) => reason.len(),
            Some(JobEnd::Cancelled) | None => 0,
        };
        self.spec.payload.len() + result
    }

    /// Returns where the job is in its life.
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
