//! Whether a fleet could hold a gang if nothing else ran on it.

use crate::version::{Adjacency, Fleet, Shape, UnmetReason};

/// Whether a fleet could hold a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetFit {
    /// It could.
    Fits,
    /// It could not, and this is missing.
    Lacks(UnmetReason),
}

/// Checks a gang against the whole of a fleet.
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

/// Returns why a gang can never run on the kinds of workers and racks that a fleet has. Data
/// centres and regions may have lost workers that come back, so their size rules nothing out.
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
