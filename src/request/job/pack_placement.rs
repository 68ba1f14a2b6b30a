//! A placement policy that packs gangs tightly.

use super::{
    FleetView, GangPlacementRequest, PlacementDecision, PlacementPolicy, packing::GangPacker,
    passed_over::passed_over_workers,
};

/// Packs a gang so that the fewest accelerators stay idle on the workers that it uses, without
/// regard to other shapes.
#[derive(Debug, Default)]
pub struct PackPlacement;

impl PlacementPolicy for PackPlacement {
    fn place(
        &self,
        request: &GangPlacementRequest,
        view: &FleetView,
    ) -> PlacementDecision {
        let mut decision = PlacementDecision::default();
        for may_evict in [false, true] {
            let packer = GangPacker::new(request, view, may_evict);
            let groups = view.fleet.groups(request.gang.adjacency).iter();
            let packings = groups.filter_map(|g| packer.pack(request, g));
            let best = packings.min_by_key(|p| p.idle_left(view));
            if let Some(packing) = best {
                let members = packing.members.iter();
                decision.members = members.map(|w| view.upstream_of(*w).clone()).collect();
                decision.allocations = packing.allocations;
                break;
            }
        }
        decision.passed_over = passed_over_workers(request, view, &decision.allocations);
        decision
    }
}
