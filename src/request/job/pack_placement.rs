//! A placement policy that packs gangs tightly.

use super::{
    FleetView, PlacementAsk, PlacementDecision, PlacementPolicy, packing::PackingSite,
    passed_over::pass_over,
};

/// Packs a gang into the group of workers that its adjacency allows and that has the fewest idle
/// accelerators, whatever that does to other shapes.
#[derive(Debug, Default)]
pub struct PackPlacement;

impl PlacementPolicy for PackPlacement {
    fn place(
        &self,
        ask: &PlacementAsk,
        view: &FleetView,
    ) -> PlacementDecision {
        let mut decision = PlacementDecision::default();
        for evicting in [false, true] {
            let site = PackingSite::new(ask, view, evicting);
            let groups = view.fleet.groups(ask.gang.adjacency).iter();
            let packings = groups.filter_map(|g| site.pack(ask, g));
            let best = packings.min_by_key(|p| p.idle_left(view));
            if let Some(packing) = best {
                let members = packing.members.iter();
                decision.members = members.map(|w| view.name_of(*w).clone()).collect();
                decision.taken = packing.taken;
                break;
            }
        }
        decision.passed_over = pass_over(ask, view, &decision.taken);
        decision
    }
}
