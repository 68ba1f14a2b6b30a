//! Why a job waits.

use {
    crate::{prelude::*, request::PassedOverWorkers, version::UnmetReason},
    derive_more::Display,
    serde::Serialize,
};

/// What the start of a job waits for.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum WaitReason {
    /// The queue has not looked at it yet.
    #[display("the next turn of the queue")]
    #[serde(rename = "next-turn")]
    NextPass,
    /// Its kind is not in the document in force.
    #[display("a document that declares its kind again")]
    KindRemoved,
    /// The account uses what it may.
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
    /// The fleet of now cannot hold it, even when nothing else runs.
    #[display("more workers: {what}")]
    Machines {
        /// What is missing.
        what: UnmetReason,
    },
    /// There is no room that is near enough together.
    #[display("room for the whole gang")]
    #[serde(rename = "room")]
    Capacity {
        /// The milliseconds until room is expected, where it is claimed; an estimate, no promise.
        #[serde(skip_serializing_if = "Option::is_none")]
        claimed_for_ms: Option<u64>,
    },
    /// There is room, but a job that waits longer claims it.
    #[display("job {by}, which has a claim")]
    Claimed {
        /// The job that claims it.
        by: JobId,
    },
    /// Its place would fragment the fleet; it waits for a better one.
    #[display("a place that leaves more room for large gangs")]
    BetterPlace {
        /// By how many accelerators the unusable ones would rise.
        fragmentation_rise: f64,
    },
    /// Work that may wait has been asked to give its place.
    #[display("{jobs} deferrable jobs that give way")]
    #[serde(rename = "giving-way")]
    Preemption {
        /// The number of these jobs.
        jobs: usize,
    },
    /// Jobs before it are served first and no job may pass them.
    #[display("the jobs before it")]
    Order,
    /// It has a place and is being started.
    #[display("its members' workers to start")]
    Starting,
    /// It does not wait.
    #[display("nothing; it runs")]
    Running,
}

impl WaitReason {
    /// Tells whether another reason differs in its figures at most.
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
    /// What its start waits for.
    pub waits_for: WaitReason,
    /// Its place in the queue, counted from 1; 0 when it is out of the queue.
    pub position: usize,
    /// The number of jobs in the queue.
    pub queued: usize,
    /// The workers that the last decision passed over.
    pub passed_over: Vec<PassedOverWorkers>,
    /// The workers that it has.
    pub workers: Vec<UpstreamName>,
}

impl Explanation {
    /// Tells whether the job has no place.
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
