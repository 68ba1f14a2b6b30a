//! The placement policy's border.

use {
    super::{Allocation, FleetView, ShapeMix},
    crate::{
        prelude::*,
        version::{Class, Shape},
    },
    derive_more::Display,
    serde::Serialize,
};

/// Why workers were passed over.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PassReason {
    /// It has fewer accelerators than one member needs, even when it is idle.
    #[display("too small")]
    TooSmall,
    /// Too few of its accelerators are idle.
    #[display("too few idle accelerators")]
    TooFewIdle,
    /// Enough is idle, but guaranteed to other accounts, and the job cannot be evicted.
    #[display("guaranteed to other accounts")]
    Guaranteed,
    /// Not enough other workers near it have room.
    #[display("too few neighbours with room")]
    NotAdjacent,
    /// It fails what it is given and is on trial.
    #[display("ejected after failures")]
    Ejected,
    /// It is kept for a job that has waited longer.
    #[display("claimed by a job that waits longer")]
    Claimed,
    /// It would do, and another one does better.
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

/// Workers that a placement passed over for one reason.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PassedOverWorkers {
    /// One of them.
    pub upstream: UpstreamName,
    /// Why they were passed over.
    pub reason: PassReason,
    /// How many they are.
    pub workers: u32,
}

/// What a policy is told of the job.
#[derive(Clone, Debug)]
pub struct GangPlacementRequest {
    /// The account that owns the job.
    pub account: AccountName,
    /// The gang to place.
    pub gang: Shape,
    /// How urgent the job is.
    pub class: Class,
    /// Whether the job gives its accelerators back when they are reclaimed.
    pub evictable: bool,
    /// How long the job has waited, in parts of the run time that is expected of it.
    pub wait_ratio: f64,
    /// Whether the job may be held back for a better place.
    pub may_hold_back: bool,
    /// How much completion time counts, from 0 to 1.
    pub completion_weight: f64,
    /// How much fragmentation counts, from 0 to 1.
    pub fragmentation_weight: f64,
    /// The mix of shapes that the service asks for.
    pub mix: Rc<ShapeMix>,
}

/// What a policy chose.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementDecision {
    /// The worker of each member, in the order of the members; empty when the gang has to wait.
    pub members: Vec<UpstreamName>,
    /// The accelerators that the gang is expected to hold on each worker.
    pub allocations: Vec<Allocation>,
    /// By how much the accelerators that the mix cannot use would rise.
    pub fragmentation_rise: f64,
    /// Whether the gang fits, but waits for a place where it fragments less.
    pub held_back: bool,
    /// The workers that were passed over, and why.
    pub passed_over: Vec<PassedOverWorkers>,
}

impl PlacementDecision {
    /// Tells whether the gang has a place.
    pub fn is_placed(&self) -> bool {
        !self.members.is_empty()
    }
}

/// Chooses the workers of a gang.
pub trait PlacementPolicy {
    /// Places the whole gang, or none of it.
    fn place(
        &self,
        ask: &GangPlacementRequest,
        view: &FleetView,
    ) -> PlacementDecision;
}
