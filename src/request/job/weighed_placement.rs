//! The placement policy that weighs completion time against fragmentation.

use {
    super::{
        FleetView, Fragmentation, GangPlacementRequest, PlacementDecision, PlacementPolicy,
        packing::{GangPacker, Packing},
        passed_over::passed_over_workers,
    },
    crate::version::{Adjacency, Class},
};

/// The price of each accelerator of a gang within one worker, one rack, one data centre, one region
/// or across regions.
const SPREAD_PRICE: [f64; 5] = [0.0, 0.05, 0.1, 0.3, 1.0];

/// The price of an accelerator that is guaranteed to nobody; one that is guaranteed to the job's own
/// account is free.
const UNRESERVED_PRICE: f64 = 0.02;

/// The price of an accelerator that another account may reclaim.
const BORROW_PRICE: f64 = 0.1;

/// The price of an accelerator whose work is evicted.
const EVICT_PRICE: f64 = 1.0;

/// The weight of the time that a normal job waits, against the fragmentation that its start causes.
const NORMAL_WAIT_WEIGHT: f64 = 1.0;

/// As [`NORMAL_WAIT_WEIGHT`], for deferrable jobs, which may wait overnight.
const DEFERRABLE_WAIT_WEIGHT: f64 = 0.25;

/// Chooses the placement with the lowest price. The price counts the fragmentation that it adds and
/// how far it spreads the gang, by the weights of the service, and what it borrows and evicts. A job
/// that is not urgent is held back while the fragmentation that its best placement causes outweighs
/// the wait.
#[derive(Debug, Default)]
pub struct WeighedPlacement;

/// A packing with its price.
struct PricedPlacement {
    packing: Packing,
    rise: f64,
    price: f64,
}

impl PlacementPolicy for WeighedPlacement {
    fn place(
        &self,
        request: &GangPlacementRequest,
        view: &FleetView,
    ) -> PlacementDecision {
        let fragmentation = Fragmentation::of(view, request.mix.clone());
        let best = best_placement(request, view, &fragmentation, false);
        let best = best.or_else(|| best_placement(request, view, &fragmentation, true));
        let Some(best) = best else {
            return PlacementDecision {
                passed_over: passed_over_workers(request, view, &[]),
                ..PlacementDecision::default()
            };
        };
        if is_held_back(request, best.rise) {
            return PlacementDecision {
                fragmentation_rise: best.rise,
                held_back: true,
                ..PlacementDecision::default()
            };
        }
        let members = best.packing.members.iter();
        PlacementDecision {
            members: members.map(|w| view.upstream_of(*w).clone()).collect(),
            fragmentation_rise: best.rise,
            held_back: false,
            passed_over: passed_over_workers(request, view, &best.packing.allocations),
            allocations: best.packing.allocations,
        }
    }
}

/// Returns the packing with the lowest price among all groups that the adjacency allows.
fn best_placement(
    request: &GangPlacementRequest,
    view: &FleetView,
    fragmentation: &Fragmentation,
    may_evict: bool,
) -> Option<PricedPlacement> {
    let packer = GangPacker::new(request, view, may_evict);
    let widest = match request.gang.members {
        1 => Adjacency::Worker,
        _ => request.gang.adjacency,
    };
    let mut best: Option<PricedPlacement> = None;
    for level in Adjacency::ALL.into_iter().filter(|l| *l <= widest) {
        for group in view.fleet.groups(level) {
            let Some(packing) = packer.pack(request, group) else {
                continue;
            };
            let priced = price(request, fragmentation, level, packing);
            if best.as_ref().is_none_or(|b| priced.price < b.price) {
                best = Some(priced);
            }
        }
    }
    best
}

fn price(
    request: &GangPlacementRequest,
    fragmentation: &Fragmentation,
    level: Adjacency,
    packing: Packing,
) -> PricedPlacement {
    let rise = fragmentation.rise(&packing.allocations);
    let spread = SPREAD_PRICE[level as usize] * f64::from(request.gang.total_accelerators());
    let tier_price = UNRESERVED_PRICE * f64::from(packing.unreserved)
        + BORROW_PRICE * f64::from(packing.borrowed)
        + EVICT_PRICE * f64::from(packing.reclaimed);
    PricedPlacement {
        packing,
        rise,
        price: request.fragmentation_weight * rise
            + request.completion_weight * spread
            + tier_price,
    }
}

/// Returns whether the fragmentation that a placement causes outweighs what the job loses by
/// waiting.
fn is_held_back(
    request: &GangPlacementRequest,
    rise: f64,
) -> bool {
    let wait_weight = match request.class {
        Class::Urgent => return false,
        Class::Normal => NORMAL_WAIT_WEIGHT,
        Class::Deferrable => DEFERRABLE_WAIT_WEIGHT,
    };
    let rise = rise / f64::from(request.gang.total_accelerators());
    let cost = request.fragmentation_weight * rise;
    let start_value = request.completion_weight * wait_weight * (1.0 + request.wait_ratio);
    request.may_hold_back && cost > start_value
}
