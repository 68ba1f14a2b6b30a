//! The submission of a job.

use {
    crate::{
        prelude::*,
        process::{
            entry::Entry,
            job_queue::fitness::never_fits,
            state::{JobRecord, RecordBody, StateError},
        },
        version::{JobKind, Shape, UnmetReason},
    },
    derive_more::{Display, Error, From},
    serde::{Deserialize, Serialize},
};

/// A job as a caller submits it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    /// The kind of the job.
    pub kind: KindName,
    /// The input of the tasks.
    #[serde(default)]
    pub payload: String,
}

/// An accepted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// The unique number of the job.
    pub id: JobId,
    /// The account that owns it.
    pub account: AccountName,
    /// Its kind.
    pub kind: KindName,
    /// The input of the tasks.
    pub payload: Bytes,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
}

/// Why a job was not accepted.
#[derive(Debug, Display, Error, From)]
pub enum JobError {
    /// The document declares no such kind.
    #[display("the document declares no job kind {_0:?}")]
    #[from(skip)]
    UnknownKind(#[error(not(source))] KindName),
    /// The account has reached its limit of unfinished jobs, or is not in the document.
    #[display("the account has {_0} unfinished jobs, its limit")]
    #[from(skip)]
    TooManyJobs(#[error(not(source))] u32),
    /// The gang needs more accelerators than the account's quota.
    #[display("the gang needs {needed} accelerators, the account's quota is {quota}")]
    OverQuota {
        /// The accelerators of the whole gang.
        needed: u32,
        /// The account's quota.
        quota: u32,
    },
    /// No known worker or rack could ever hold the gang.
    #[display("the gang {gang} can never run here: {reason}")]
    NeverFits {
        /// The gang.
        gang: Shape,
        /// What is missing.
        #[error(not(source))]
        reason: UnmetReason,
    },
    /// The job is not known to be recorded.
    #[display("{_0}")]
    State(StateError),
}

/// Checks a job and appends it to the log with this entry as its owner. The task that runs it starts
/// when the record has been read back from the log.
///
/// # Errors
/// Returns a [`JobError`] when the job was not accepted. It does not run then, except after
/// [`StateError::Unknown`], when its record may be on the log.
pub async fn submit_job(
    entry: &Rc<Entry>,
    account: &AccountName,
    submission: JobSubmission,
) -> Result<JobId, JobError> {
    let kind = check_submission(entry, account, &submission)?;
    let spec = JobSpec {
        id: entry.ids.job_id(),
        account: account.clone(),
        kind: kind.name.clone(),
        payload: submission.payload.into_bytes().into(),
        accepted_ms: entry.clock.wall_time().0,
    };
    let id = spec.id;
    let record = RecordBody::Job(JobRecord::Accepted {
        spec,
        owner: entry.settings.name.clone(),
    });
    entry.state.append(record).await?;
    Ok(id)
}

/// Checks a job against the document, the account's limits and the known fleet.
fn check_submission(
    entry: &Entry,
    account: &AccountName,
    submission: &JobSubmission,
) -> Result<JobKind, JobError> {
    let document = entry.document();
    let kind = document.job_kinds.get(&submission.kind);
    let kind = kind.ok_or_else(|| JobError::UnknownKind(submission.kind.clone()))?;
    let Some(limits) = document.accounts.get(account) else {
        return Err(JobError::TooManyJobs(0));
    };
    if kind.gang.total_accelerators() > limits.quota_accelerators {
        return Err(JobError::OverQuota {
            needed: kind.gang.total_accelerators(),
            quota: limits.quota_accelerators,
        });
    }
    if let Some(reason) = never_fits(&entry.fleet_history.borrow().known_fleet(), &kind.gang) {
        return Err(JobError::NeverFits {
            gang: kind.gang,
            reason,
        });
    }
    let open = entry.state.fold().open_job_count(account);
    if open >= limits.max_jobs {
        return Err(JobError::TooManyJobs(open));
    }
    Ok(kind.clone())
}
