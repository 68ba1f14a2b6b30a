//! Says why workers were passed over.

use {
    super::{Allocation, FleetView, GangPlacementRequest, PassReason, PassedOverWorkers},
    std::collections::BTreeMap,
};

/// Sorts the workers that a decision did not take by the reason, with an example of each.
pub(super) fn passed_over_workers(
    ask: &GangPlacementRequest,
    view: &FleetView,
    taken: &[Allocation],
) -> Vec<PassedOverWorkers> {
    let mut passed: BTreeMap<PassReason, PassedOverWorkers> = BTreeMap::new();
    for worker in 0..view.capacities.len() {
        if taken.iter().any(|t| t.worker == worker) {
            continue;
        }
        let reason = pass_reason(ask, view, worker, !taken.is_empty());
        let entry = passed.entry(reason).or_insert_with(|| PassedOverWorkers {
            upstream: view.upstream_of(worker).clone(),
            reason,
            workers: 0,
        });
        entry.workers += 1;
    }
    passed.into_values().collect()
}

fn pass_reason(
    ask: &GangPlacementRequest,
    view: &FleetView,
    worker: usize,
    placed: bool,
) -> PassReason {
    let needed = ask.gang.accelerators;
    let room = &view.capacities[worker];
    if ask.gang.is_plain() && room.free_plain_tasks == 0 {
        return PassReason::TooFewIdle;
    }
    let to_be_had = room.tiers(&ask.account, ask.evictable).all().len();
    if view.fleet.workers()[worker].accelerators.len() < needed {
        PassReason::TooSmall
    } else if to_be_had >= needed && placed {
        PassReason::FitsWorse
    } else if to_be_had >= needed {
        PassReason::NotAdjacent
    } else if room.claimed && room.idle.len() >= needed {
        PassReason::Claimed
    } else if room.idle.len() >= needed {
        PassReason::Guaranteed
    } else {
        PassReason::TooFewIdle
    }
}
