//! Checks whether a fleet could hold a gang if nothing else ran on it.

use crate::version::{Adjacency, Fleet, Shape, UnmetReason};

/// The result of checking a gang against a fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetFit {
    /// The fleet could hold the gang.
    Fits,
    /// The fleet could not hold the gang, for this reason.
    Lacks(UnmetReason),
}

/// Checks whether a fleet on which nothing runs could hold a gang.
pub fn check(
    fleet: &Fleet,
    gang: &Shape,
) -> FleetFit {
    if fleet.workers().is_empty() {
        return FleetFit::Lacks(UnmetReason::NoUpstreams);
    }
    let largest = fleet.largest_worker_accelerators();
    if largest < gang.accelerators {
        return FleetFit::Lacks(UnmetReason::NoWorkerLargeEnough {
            needed: gang.accelerators,
            largest,
        });
    }
    let most = fleet.max_members(gang.adjacency, gang.accelerators);
    if most < gang.members {
        return FleetFit::Lacks(UnmetReason::NoGroupLargeEnough {
            adjacency: gang.adjacency,
            needed: gang.members,
            most,
        });
    }
    FleetFit::Fits
}

/// Returns why a gang can never run on workers and racks of the sizes that a fleet has. The sizes of
/// data centres and regions rule nothing out, because lost workers may come back.
pub fn never_fits(
    fleet: &Fleet,
    gang: &Shape,
) -> Option<UnmetReason> {
    match check(fleet, gang) {
        FleetFit::Fits | FleetFit::Lacks(UnmetReason::NoUpstreams) => None,
        FleetFit::Lacks(reason @ UnmetReason::NoWorkerLargeEnough { .. }) => Some(reason),
        FleetFit::Lacks(reason) => (gang.adjacency <= Adjacency::Rack).then_some(reason),
    }
}
