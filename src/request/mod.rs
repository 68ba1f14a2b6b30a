//! State that lives as long as one request or one job.

mod api;
mod call;
mod id;
mod job;
mod routing;
mod step_job;

pub use {
    api::EntryApi,
    call::{CallerRequest, Fingerprint, KeyConflict, NotRun, Outcome, run_request},
    id::{IdGenerator, JobId, RequestId},
    job::{
        Allocation, FirstFitPlacement, FleetView, Fragmentation, GangPlacementRequest, JobError,
        JobSpec, JobSubmission, MixShape, PackPlacement, PassReason, PassedOverUpstream,
        PassedOverWorkers, PlacementDecision, PlacementPolicy, ShapeMix, Tiers, WeighedPlacement,
        WorkerCapacity, run_job, submit_job,
    },
    routing::{
        Health, LeastConnectionsRouting, LeastWaitRouting, LoadSource, RandomRouting,
        RoundRobinRouting, RoutingDecision, RoutingPolicy, RoutingRequest, UpstreamLoad,
    },
    step_job::{
        InvalidJob, JobPhase, JobProgress, MAX_STEPS, ParseStepJobIdError, ProgressStamp,
        Recurrence, Resources, RunRef, Step, StepJob, StepJobId, SubtaskId, UnitId,
    },
};
