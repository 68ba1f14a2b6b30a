//! Replays of arrivals through the queue, the placement policies and the layout.

mod bound;
mod decision_cost;
mod deployment;
mod first_come_rules;
mod placement_bench;
mod replay;
mod replay_job;
mod replay_report;
mod strategy;
mod workload;

pub use {
    deployment::Deployment,
    placement_bench::PlacementBench,
    replay::{Replay, ReplayResult},
    replay_job::ReplayJob,
    strategy::Strategy,
    workload::{Workload, WorkloadSize},
};
