//! The interface of placement policies: requests, decisions and reasons.

use {
    super::{Allocation, FleetView, ShapeMix},
    crate::{
        prelude::*,
        version::{Class, Shape},
    },
    derive_more::Display,
    serde::Serialize,
};

/// Why a worker was passed over.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PassReason {
    /// It has fewer accelerators in total than one member needs.
    #[display("too small")]
    TooSmall,
    /// Too little of it is idle.
    #[display("too few idle accelerators")]
    TooFewIdle,
    /// Enough is idle, but guaranteed to other accounts, and the job cannot be evicted from it.
    #[display("guaranteed to other accounts")]
    Guaranteed,
    /// It has capacity, but too few workers within the gang's adjacency have.
    #[display("too few neighbours with room")]
    NotAdjacent,
    /// It is ejected because jobs fail on it.
    #[display("ejected after failures")]
    Ejected,
    /// It is claimed by another waiting job.
    #[display("claimed by a job that waits longer")]
    Claimed,
    /// It has capacity, but the decision prefers others.
    #[display("another fits better")]
    FitsWorse,
}

/// An upstream that a decision passed over.
#[derive(Clone, Debug, Serialize)]
pub struct PassedOverUpstream {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Why it was passed over.
    pub reason: &'static str,
}

/// The workers that a placement passed over for one reason.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PassedOverWorkers {
    /// An example of these workers.
    pub upstream: UpstreamName,
    /// Why they were passed over.
    pub reason: PassReason,
    /// The number of these workers.
    pub workers: u32,
}

/// The request to place the gang of one job.
#[derive(Clone, Debug)]
pub struct GangPlacementRequest {
    /// The account that owns the job.
    pub account: AccountName,
    /// The gang to place.
    pub gang: Shape,
    /// The class of the job.
    pub class: Class,
    /// Whether the job can be evicted, and may therefore borrow what others are guaranteed.
    pub evictable: bool,
    /// The ratio of the time that the job has waited to its expected run time.
    pub wait_ratio: f64,
    /// Whether the job may be held back for a better placement.
    pub may_hold_back: bool,
    /// The weight of completion time, from 0 to 1.
    pub completion_weight: f64,
    /// The weight of fragmentation, from 0 to 1.
    pub fragmentation_weight: f64,
    /// The mix of gang shapes that the service declares.
    pub mix: Rc<ShapeMix>,
}

/// The decision of a policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementDecision {
    /// The worker of each member, in the order of the members; empty when the gang has to wait.
    pub members: Vec<UpstreamName>,
    /// What the gang is expected to hold on each worker.
    pub allocations: Vec<Allocation>,
    /// The expected number of idle accelerators that become unusable for the mix.
    pub fragmentation_rise: f64,
    /// Whether the gang fits, but waits for a placement that causes less fragmentation.
    pub held_back: bool,
    /// The workers that were passed over, and why.
    pub passed_over: Vec<PassedOverWorkers>,
}

impl PlacementDecision {
    /// Returns whether the gang is placed.
    pub fn is_placed(&self) -> bool {
        !self.members.is_empty()
    }
}

/// Chooses the workers of a gang.
pub trait PlacementPolicy {
    /// Places the whole gang, or none of it.
    fn place(
        &self,
        request: &GangPlacementRequest,
        view: &FleetView,
    ) -> PlacementDecision;
}
