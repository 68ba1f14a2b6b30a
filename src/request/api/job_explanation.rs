//! Explanations for accounts of why a job waits.

use {
    crate::{
        prelude::*,
        process::{
            entry::Entry,
            job_queue::{Explanation, WaitReason},
            state::{JobState, JobStatus},
        },
        request::PassedOverWorkers,
    },
    serde::Serialize,
};

/// The JSON representation of a job's explanation.
#[derive(Debug, Serialize)]
pub(super) struct JobExplanation {
    id: String,
    status: JobStatus,
    owner: EntryName,
    /// A summary in one sentence.
    summary: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    waits_for: Option<WaitReason>,
    /// The position in the owner's queue, counted from 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    position: Option<usize>,
    /// The number of jobs in the owner's queue.
    #[serde(rename = "queued", skip_serializing_if = "Option::is_none")]
    queue_length: Option<usize>,
    workers: Vec<UpstreamName>,
    passed_over: Vec<PassedOverWorkers>,
}

/// Explains a job: from the queue if this entry owns the job, otherwise from the log.
pub(super) fn explain(
    entry: &Entry,
    job: &JobState,
) -> JobExplanation {
    let mut explanation = JobExplanation {
        id: job.spec.id.to_string(),
        status: job.status(),
        owner: job.owner.clone(),
        summary: format!("the job is {}", job.status()),
        waits_for: None,
        position: None,
        queue_length: None,
        workers: assigned_workers(entry, job),
        passed_over: Vec::new(),
    };
    if !job.is_open() {
        return explanation;
    }
    match entry.scheduler.explain(job.spec.id) {
        Some(queued) => explanation.add_queue_state(queued),
        None if !explanation.workers.is_empty() => {
            explanation.summary = "the job runs".to_owned();
        }
        None => {
            let owner = &job.owner;
            explanation.summary = format!("the job waits at {owner}, which has the details");
        }
    }
    explanation
}

/// Returns whether a job is placed, as far as this entry knows.
pub(super) fn is_placed(
    entry: &Entry,
    job: &JobState,
) -> bool {
    match entry.scheduler.explain(job.spec.id) {
        Some(queued) => !queued.is_waiting(),
        None => !assigned_workers(entry, job).is_empty(),
    }
}

/// Returns the workers on which a job is placed according to the log.
fn assigned_workers(
    entry: &Entry,
    job: &JobState,
) -> Vec<UpstreamName> {
    let fold = entry.state.fold();
    let place = fold.placements().placement_of(job.spec.id);
    let held = place.into_iter().flat_map(|p| &p.held);
    held.map(|h| h.upstream.clone()).collect()
}

impl JobExplanation {
    /// Adds the explanation from the queue.
    fn add_queue_state(
        &mut self,
        queued: Explanation,
    ) {
        self.summary = match &queued.waits_for {
            WaitReason::Running => "the job runs".to_owned(),
            reason => format!("the job waits for {reason}"),
        };
        if queued.is_waiting() {
            self.position = Some(queued.position);
            self.queue_length = Some(queued.queued);
        }
        self.workers = queued.workers;
        self.passed_over = queued.passed_over;
        self.waits_for = Some(queued.waits_for);
    }
}
