//! Explanations of why a job waits.

use {
    crate::{prelude::*, request::PassedOverWorkers, version::UnmetReason},
    derive_more::Display,
    serde::Serialize,
};

/// What the start of a job waits for.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum WaitReason {
    /// No scheduling pass has considered it yet.
    #[display("the next turn of the queue")]
    #[serde(rename = "next-turn")]
    NextPass,
    /// Its kind is not in the document in force.
    #[display("a document that declares its kind again")]
    KindRemoved,
    /// The account would exceed its quota.
    #[display(
        "the account's other jobs: {running} of {quota} accelerators are in use, {needed} are needed"
    )]
    Quota {
        /// The accelerators in use.
        running: u32,
        /// The accelerators of the gang.
        needed: u32,
        /// The account's quota.
        quota: u32,
    },
    /// The present fleet could not hold it even if nothing else ran.
    #[display("more workers: {what}")]
    Machines {
        /// What is missing.
        what: UnmetReason,
    },
    /// No group of workers within its adjacency has enough capacity.
    #[display("room for the whole gang")]
    #[serde(rename = "room")]
    Capacity {
        /// The estimated time until the claimed workers have capacity, in milliseconds; `None`
        /// without a claim.
        #[serde(skip_serializing_if = "Option::is_none")]
        claimed_for_ms: Option<u64>,
    },
    /// There is capacity, but another job claims it.
    #[display("job {by}, which has a claim")]
    Claimed {
        /// The job that claims it.
        by: JobId,
    },
    /// It fits, but its placement would fragment the fleet; it is held back for a better one.
    #[display("a place that leaves more room for large gangs")]
    BetterPlace {
        /// The expected number of idle accelerators that would become unusable.
        fragmentation_rise: f64,
    },
    /// Deferrable jobs are being preempted for it.
    #[display("{jobs} deferrable jobs that give way")]
    #[serde(rename = "giving-way")]
    Preemption {
        /// The number of these jobs.
        jobs: usize,
    },
    /// The pass did not try to place it: an earlier job waits and may not be overtaken, or the pass
    /// reached its limit of attempts.
    #[display("the jobs before it")]
    Order,
    /// It is placed and being started.
    #[display("its members' workers to start")]
    Starting,
    /// It runs.
    #[display("nothing; it runs")]
    Running,
}

impl WaitReason {
    /// Returns whether another reason is the same but for its figures.
    pub fn is_same_kind(
        &self,
        other: &Self,
    ) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

/// Why a job waits, or where it runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// What it waits for.
    pub waits_for: WaitReason,
    /// Its position among the waiting jobs, counted from 1; 0 when it runs.
    pub position: usize,
    /// The number of waiting jobs.
    pub queued: usize,
    /// The workers that the last pass did not choose.
    pub passed_over: Vec<PassedOverWorkers>,
    /// The workers on which it runs.
    pub workers: Vec<UpstreamName>,
}

impl Explanation {
    /// Returns whether the job waits to be placed.
    pub fn is_waiting(&self) -> bool {
        self.waits_for != WaitReason::Running
    }

    /// Returns the explanation of a job at a position, without workers.
    pub(super) fn waiting(
        waits_for: WaitReason,
        position: usize,
        queued: usize,
    ) -> Self {
        Self {
            waits_for,
            position,
            queued,
            passed_over: Vec::new(),
            workers: Vec::new(),
        }
    }
}
