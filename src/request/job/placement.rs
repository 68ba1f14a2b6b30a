//! The placement policy's border.

use {
    crate::{prelude::*, version::Shape},
    serde::Serialize,
};

/// An upstream that a decision passed over.
#[derive(Clone, Debug, Serialize)]
pub struct PassedOver {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Why it was passed over.
    pub reason: &'static str,
}

/// What a policy is told of the job.
#[derive(Clone, Debug)]
pub struct PlacementAsk {
    /// The account that owns the job.
    pub account: AccountName,
    /// The gang to place.
    pub gang: Shape,
    /// How much completion time counts, from 0 to 1.
    pub completion_weight: f64,
    /// How much fragmentation counts, from 0 to 1.
    pub fragmentation_weight: f64,
}

/// What a policy is told of one worker.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The worker.
    pub upstream: UpstreamName,
    /// Its region.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its rack.
    pub rack: RackName,
    /// All its accelerators.
    pub all: AcceleratorSet,
    /// The accelerators that this job could reserve, as last announced: those that nothing holds,
    /// and those in `evictable`.
    pub free: AcceleratorSet,
    /// The accelerators that this account is guaranteed.
    pub guaranteed: AcceleratorSet,
    /// The part of the account's guaranteed accelerators that others' evictable work holds;
    /// reserving these evicts that work.
    pub evictable: AcceleratorSet,
}

/// What a policy chose.
#[derive(Clone, Debug, Default)]
pub struct PlacementDecision {
    /// The worker of each member, in the order of the members; empty when the gang has to wait.
    pub members: Vec<UpstreamName>,
    /// The workers that were passed over, and why.
    pub passed_over: Vec<PassedOver>,
}

/// Chooses the workers of a gang.
pub trait PlacementPolicy {
    /// Places the whole gang, or none of it.
    fn place(
        &self,
        ask: &PlacementAsk,
        workers: &[WorkerView],
    ) -> PlacementDecision;
}
