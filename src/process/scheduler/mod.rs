//! Decides on which worker and when each subtask runs. One entry at a time, the leader, does so for
//! all services.

mod active_unit;
mod data_centre_evacuation;
mod early_cancellation_sweep;
mod evacuation;
mod guard_task;
mod leader_lease;
mod lease_terms;
mod open_job;
mod outcome;
mod pass_pending_units;
mod pass_preemption;
mod pass_relocation;
mod pass_reservation;
mod pending_orders;
mod pending_unit;
mod preemption;
mod progress_queue;
mod progress_records;
mod progress_writer;
mod registrations;
mod report;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod scheduler;
mod scheduler_counts;
mod scheduler_term;
mod scheduling_pass;
mod takeover_wait;
mod unit_placement_policy;
mod upstream;

pub use {
    active_unit::{ActiveUnit, JobUnit},
    lease_terms::LeaseTerms,
    open_job::OpenJob,
    pending_orders::{MessageOrders, PendingOrders},
    pending_unit::PendingUnit,
    preemption::{Victim, VictimKind, choose_victims},
    progress_queue::{ProgressBatch, ProgressQueue},
    progress_records::ProgressRecords,
    scheduler::{DEFAULT_RECLAIM_TIME, Scheduler},
    scheduler_counts::SchedulerCounts,
    scheduler_term::{SchedulerContext, run_scheduler},
    unit_placement_policy::{Host, PlacementRequest, RackFirstPlacement, UnitPlacementPolicy},
    upstream::{PlacedRun, UpstreamState},
};
