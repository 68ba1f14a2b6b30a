//! The jobs of one entry that wait for their turn, and what is learned from those that had it.

mod claim;
mod ejections;
mod estimates;
mod expected_holds;
mod explanation;
pub mod fitness;
mod giving_way;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod job_queue;
mod job_turns;
mod queue_rules;
mod queued_job;
mod turn;
mod usage;

pub use {
    claim::Claim,
    ejections::Ejections,
    estimates::{Estimate, Estimates},
    explanation::{Explanation, WaitReason},
    job_queue::{JobQueue, JobStart, JobWait, TurnCx, TurnOutcome},
    job_turns::{JobTurn, JobTurns},
    queue_rules::{Backfill, QueueRules, Rank, RankCx, WeighedRules, class_rank},
    queued_job::{HeldOn, RunningJob, WaitingJob},
    usage::{AccountUsage, Usage},
};
