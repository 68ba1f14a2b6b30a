//! Replays job arrivals through the job queue, the placement policies and the guarantee layout in
//! virtual time, and measures the time of their decisions.

mod bound;
mod decision_cost;
mod deployment;
mod first_come_rules;
mod pass_cost;
mod placement_bench;
mod placement_probe;
mod placement_results;
mod placement_tables;
mod replay;
mod replay_event;
mod replay_job;
mod replay_report;
mod replay_result;
mod strategy;
mod workload;

pub(super) use placement_probe::PlacementProbe;
pub use {
    deployment::Deployment,
    placement_bench::PlacementBench,
    replay::Replay,
    replay_job::ReplayJob,
    replay_report::{FragmentationReport, IdleSums},
    replay_result::ReplayResult,
    strategy::Strategy,
    workload::{Workload, WorkloadSize},
};
