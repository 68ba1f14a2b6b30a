//! One job, from its submission to its end.

mod gang;
mod pack_placement;
mod placement;
mod submission;

pub use {
    gang::run_job,
    pack_placement::PackPlacement,
    placement::{PassedOver, PlacementAsk, PlacementDecision, PlacementPolicy, WorkerView},
    submission::{JobError, JobSpec, JobSubmission, submit_job},
};
