//! A placement policy that packs gangs tightly.

use super::{
    FleetView, GangPlacementRequest, PlacementDecision, PlacementPolicy, packing::GangPacker,
    passed_over::passed_over_workers,
};

/// Packs a gang into the group of workers that its adjacency allows and that has the fewest idle
/// accelerators, whatever that does to other shapes.
#[derive(Debug, Default)]
pub struct PackPlacement;

impl PlacementPolicy for PackPlacement {
    fn place(
        &self,
        ask: &GangPlacementRequest,
        view: &FleetView,
    ) -> PlacementDecision {
        let mut decision = PlacementDecision::default();
        for evicting in [false, true] {
            let site = GangPacker::new(ask, view, evicting);
            let groups = view.fleet.groups(ask.gang.adjacency).iter();
            let packings = groups.filter_map(|g| site.pack(ask, g));
            let best = packings.min_by_key(|p| p.idle_left(view));
            if let Some(packing) = best {
                let members = packing.members.iter();
                decision.members = members.map(|w| view.upstream_of(*w).clone()).collect();
                decision.allocations = packing.allocations;
                break;
            }
        }
        decision.passed_over = passed_over_workers(ask, view, &decision.allocations);
        decision
    }
}
