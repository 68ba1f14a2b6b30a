//! Decides which subtask runs where and when: one entry does so at a time, for all services.

mod active_unit;
mod ask;
mod guard_task;
mod lease_terms;
mod open_job;
mod orders;
mod outcome;
mod placement;
mod preemption;
mod progress_writer;
mod report;
mod running_scheduler;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod scheduler;
mod scheduler_counts;
mod turn;
mod turn_asks;
mod turn_victims;
mod upstream;

pub use {
    active_unit::ActiveUnit,
    ask::Ask,
    lease_terms::LeaseTerms,
    open_job::OpenJob,
    orders::Orders,
    placement::{Host, PlaceRequest, PlaceRules, RackFirstPlacing},
    preemption::{Victim, choose_victims},
    running_scheduler::{SchedulerParts, run_scheduler},
    scheduler::Scheduler,
    scheduler_counts::SchedulerCounts,
    upstream::{PlacedRun, UpstreamState},
};
