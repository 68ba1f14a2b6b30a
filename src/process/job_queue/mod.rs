//! The queue of the jobs that one entry owns: scheduling passes, claims, preemption, estimates of
//! run times and ejection of failing workers.

mod claim;
mod ejections;
mod estimates;
mod explanation;
pub mod fitness;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod job_queue;
mod pending_allocations;
mod preemption;
mod queue_rules;
mod queue_scheduler;
mod queued_job;
mod scheduling_pass;
mod usage;

pub use {
    claim::Claim,
    ejections::Ejections,
    estimates::{Estimate, Estimates},
    explanation::{Explanation, WaitReason},
    job_queue::{JobQueue, JobStart, JobWait, PassCx, PassOutcome},
    queue_rules::{Backfill, QueueRules, Rank, RankCx, WeighedRules, class_rank},
    queue_scheduler::{QueueHandle, QueueScheduler},
    queued_job::{HeldCapacity, RunningJob, WaitingJob},
    usage::{AccountUsage, Usage},
};
