//! Why a job waits, as its account is told.

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

/// The explanation of one job.
#[derive(Debug, Serialize)]
pub(super) struct JobExplanation {
    id: String,
    status: JobStatus,
    owner: EntryName,
    /// One sentence for people.
    summary: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    waits_for: Option<WaitReason>,
    /// The place in the owner's queue, counted from 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    position: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    queued: Option<usize>,
    workers: Vec<UpstreamName>,
    passed_over: Vec<PassedOverWorkers>,
}

/// Explains a job: from the queue where this entry owns it, and from the log elsewhere.
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
        queued: None,
        workers: placed_on(entry, job),
        passed_over: Vec::new(),
    };
    if !job.is_open() {
        return explanation;
    }
    match entry.scheduler.explain(job.spec.id) {
        Some(known) => explanation.add(known),
        None if !explanation.workers.is_empty() => {
            explanation.summary = "the job runs".to_owned();
        }
        None => {
            let owner = &job.owner;
            explanation.summary = format!("the job waits at {owner}, which can say more");
        }
    }
    explanation
}

/// Tells whether a job has a place, as far as this entry knows.
pub(super) fn is_placed(
    entry: &Entry,
    job: &JobState,
) -> bool {
    match entry.scheduler.explain(job.spec.id) {
        Some(known) => !known.is_waiting(),
        None => !placed_on(entry, job).is_empty(),
    }
}

/// Returns the workers that the log has for an open job.
fn placed_on(
    entry: &Entry,
    job: &JobState,
) -> Vec<UpstreamName> {
    let fold = entry.state.fold();
    let place = fold.placements().placement_of(job.spec.id);
    let held = place.into_iter().flat_map(|p| &p.held);
    held.map(|h| h.upstream.clone()).collect()
}

impl JobExplanation {
    /// Adds what the queue knows.
    fn add(
        &mut self,
        known: Explanation,
    ) {
        self.summary = match &known.waits_for {
            WaitReason::Running => "the job runs".to_owned(),
            reason => format!("the job waits for {reason}"),
        };
        if known.is_waiting() {
            self.position = Some(known.position);
            self.queued = Some(known.queued);
        }
        self.workers = known.workers;
        self.passed_over = known.passed_over;
        self.waits_for = Some(known.waits_for);
    }
}
