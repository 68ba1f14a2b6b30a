//! A placement policy that takes the first workers with room.

use super::{
    FleetView, GangPlacementRequest, PlacementDecision, PlacementPolicy, packing::GangPacker,
};

/// Takes the first group of workers that holds the gang, and its workers in their order. It is
/// there to be compared with.
#[derive(Debug, Default)]
pub struct FirstFitPlacement;

impl PlacementPolicy for FirstFitPlacement {
    fn place(
        &self,
        ask: &GangPlacementRequest,
        view: &FleetView,
    ) -> PlacementDecision {
        let mut decision = PlacementDecision::default();
        for evicting in [false, true] {
            let site = GangPacker::new(ask, view, evicting);
            let groups = view.fleet.groups(ask.gang.adjacency).iter();
            let mut packings = groups.map(|g| site.fill(ask, g));
            let whole = packings.find(|p| p.members.len() as u32 == ask.gang.members);
            if let Some(packing) = whole {
                let members = packing.members.iter();
                decision.members = members.map(|w| view.upstream_of(*w).clone()).collect();
                decision.allocations = packing.allocations;
                break;
            }
        }
        decision
    }
}
