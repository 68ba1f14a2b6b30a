//! A placement policy that chooses the first workers with enough capacity.

use super::{
    FleetView, GangPlacementRequest, PlacementDecision, PlacementPolicy, packing::GangPacker,
};

/// Chooses the first group of workers that holds the gang, and its workers in their order. It serves
/// as a baseline for comparison.
#[derive(Debug, Default)]
pub struct FirstFitPlacement;

impl PlacementPolicy for FirstFitPlacement {
    fn place(
        &self,
        request: &GangPlacementRequest,
        view: &FleetView,
    ) -> PlacementDecision {
        let mut decision = PlacementDecision::default();
        for may_evict in [false, true] {
            let packer = GangPacker::new(request, view, may_evict);
            let groups = view.fleet.groups(request.gang.adjacency).iter();
            let mut packings = groups.map(|g| packer.fill(request, g));
            let complete = packings.find(|p| p.members.len() as u32 == request.gang.members);
            if let Some(packing) = complete {
                let members = packing.members.iter();
                decision.members = members.map(|w| view.upstream_of(*w).clone()).collect();
                decision.allocations = packing.allocations;
                break;
            }
        }
        decision
    }
}
