//! The placement policy that weighs completion time against fragmentation.

use {
    super::{
        FleetView, Fragmentation, PlacementAsk, PlacementDecision, PlacementPolicy,
        packing::{Packing, PackingSite},
        passed_over::pass_over,
    },
    crate::version::{Adjacency, Class},
};

/// The price of one accelerator of a gang that is spread over a worker, a rack, a data centre, a
/// region or several regions.
const SPREAD_PRICE: [f64; 5] = [0.0, 0.05, 0.1, 0.3, 1.0];

/// The price of taking an accelerator that nobody is guaranteed, rather than an own one.
const OPEN_PRICE: f64 = 0.02;

/// The price of taking an accelerator that another account may reclaim.
const BORROW_PRICE: f64 = 0.1;

/// The price of evicting the work of an accelerator.
const EVICT_PRICE: f64 = 1.0;

/// The part of a start's worth that a job of each class loses by waiting.
const NORMAL_HASTE: f64 = 1.0;

/// As [`NORMAL_HASTE`], for work that may wait overnight.
const DEFERRABLE_HASTE: f64 = 0.25;

/// Takes the place with the lowest price: what it adds to fragmentation, weighed by the service,
/// and how far it spreads, borrows and evicts. Work that is not urgent is held back while the
/// fragmentation that its best place causes outweighs the wait.
#[derive(Debug, Default)]
pub struct WeighedPlacement;

/// A place with its price.
struct Priced {
    packing: Packing,
    rise: f64,
    price: f64,
}

impl PlacementPolicy for WeighedPlacement {
    fn place(
        &self,
        ask: &PlacementAsk,
        view: &FleetView,
    ) -> PlacementDecision {
        let fragmentation = Fragmentation::of(view, ask.mix.clone());
        let best = best_place(ask, view, &fragmentation, false);
        let best = best.or_else(|| best_place(ask, view, &fragmentation, true));
        let Some(best) = best else {
            return PlacementDecision {
                passed_over: pass_over(ask, view, &[]),
                ..PlacementDecision::default()
            };
        };
        if is_held_back(ask, best.rise) {
            return PlacementDecision {
                fragmentation_rise: best.rise,
                held_back: true,
                ..PlacementDecision::default()
            };
        }
        let members = best.packing.members.iter();
        PlacementDecision {
            members: members.map(|w| view.name_of(*w).clone()).collect(),
            fragmentation_rise: best.rise,
            held_back: false,
            passed_over: pass_over(ask, view, &best.packing.taken),
            taken: best.packing.taken,
        }
    }
}

/// Prices the places in every group that the adjacency allows, and returns the best one.
fn best_place(
    ask: &PlacementAsk,
    view: &FleetView,
    fragmentation: &Fragmentation,
    evicting: bool,
) -> Option<Priced> {
    let site = PackingSite::new(ask, view, evicting);
    let widest = match ask.gang.members {
        1 => Adjacency::Worker,
        _ => ask.gang.adjacency,
    };
    let mut best: Option<Priced> = None;
    for level in Adjacency::ALL.into_iter().filter(|l| *l <= widest) {
        for group in view.fleet.groups(level) {
            let Some(packing) = site.pack(ask, group) else {
                continue;
            };
            let priced = price(ask, fragmentation, level, packing);
            if best.as_ref().is_none_or(|b| priced.price < b.price) {
                best = Some(priced);
            }
        }
    }
    best
}

fn price(
    ask: &PlacementAsk,
    fragmentation: &Fragmentation,
    level: Adjacency,
    packing: Packing,
) -> Priced {
    let rise = fragmentation.rise(&packing.taken);
    let spread = SPREAD_PRICE[level as usize] * f64::from(ask.gang.total_accelerators());
    let shares = OPEN_PRICE * f64::from(packing.open)
        + BORROW_PRICE * f64::from(packing.borrowed)
        + EVICT_PRICE * f64::from(packing.evicting);
    Priced {
        packing,
        rise,
        price: ask.fragmentation_weight * rise + ask.completion_weight * spread + shares,
    }
}

/// Tells whether the fragmentation of a place outweighs what the job loses by waiting.
fn is_held_back(
    ask: &PlacementAsk,
    rise: f64,
) -> bool {
    let haste = match ask.class {
        Class::Urgent => return false,
        Class::Normal => NORMAL_HASTE,
        Class::Deferrable => DEFERRABLE_HASTE,
    };
    let rise = rise / f64::from(ask.gang.total_accelerators());
    let cost = ask.fragmentation_weight * rise;
    let worth = ask.completion_weight * haste * (1.0 + ask.waited);
    ask.may_hold && cost > worth
}
