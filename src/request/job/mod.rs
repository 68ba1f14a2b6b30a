//! One job from its submission to its end, and the placement of its gang.

mod first_fit_placement;
mod fleet_view;
mod fragmentation;
mod gang;
mod pack_placement;
mod packing;
mod passed_over;
mod placement;
mod shape_mix;
mod submission;
mod weighed_placement;

pub use {
    first_fit_placement::FirstFitPlacement,
    fleet_view::{Allocation, FleetView, Tiers, WorkerCapacity},
    fragmentation::Fragmentation,
    gang::run_job,
    pack_placement::PackPlacement,
    placement::{
        GangPlacementRequest, PassReason, PassedOverUpstream, PassedOverWorkers, PlacementDecision,
        PlacementPolicy,
    },
    shape_mix::{MixShape, ShapeMix},
    submission::{JobError, JobSpec, JobSubmission, submit_job},
    weighed_placement::WeighedPlacement,
};
