//! The reasons for which placement passes workers over.

use {
    super::{Allocation, FleetView, GangPlacementRequest, PassReason, PassedOverWorkers},
    std::collections::BTreeMap,
};

/// Counts the workers that a decision did not choose by reason, with one of them as an example.
pub(super) fn passed_over_workers(
    request: &GangPlacementRequest,
    view: &FleetView,
    allocations: &[Allocation],
) -> Vec<PassedOverWorkers> {
    let mut passed: BTreeMap<PassReason, PassedOverWorkers> = BTreeMap::new();
    for worker in 0..view.capacities.len() {
        if allocations.iter().any(|a| a.worker == worker) {
            continue;
        }
        let reason = pass_reason(request, view, worker, !allocations.is_empty());
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
    request: &GangPlacementRequest,
    view: &FleetView,
    worker: usize,
    placed: bool,
) -> PassReason {
    let needed = request.gang.accelerators;
    let capacity = &view.capacities[worker];
    if request.gang.is_plain() && capacity.free_plain_tasks == 0 {
        return PassReason::TooFewIdle;
    }
    let obtainable = capacity
        .tiers(&request.account, request.evictable)
        .all()
        .len();
    if view.fleet.workers()[worker].accelerators.len() < needed {
        PassReason::TooSmall
    } else if obtainable >= needed && placed {
        PassReason::FitsWorse
    } else if obtainable >= needed {
        PassReason::NotAdjacent
    } else if capacity.claimed && capacity.idle.len() >= needed {
        PassReason::Claimed
    } else if capacity.idle.len() >= needed {
        PassReason::Guaranteed
    } else {
        PassReason::TooFewIdle
    }
}
