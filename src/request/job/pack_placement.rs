//! A placement policy that packs gangs tightly.

use {
    super::{PassedOver, PlacementAsk, PlacementDecision, PlacementPolicy, WorkerView},
    crate::{prelude::*, version::Adjacency},
    std::collections::BTreeMap,
};

/// Packs a gang into the smallest group of workers that its adjacency allows, on the workers
/// with the fewest free accelerators left over.
#[derive(Debug, Default)]
pub struct PackPlacement;

impl PlacementPolicy for PackPlacement {
    fn place(
        &self,
        ask: &PlacementAsk,
        workers: &[WorkerView],
    ) -> PlacementDecision {
        let mut decision = PlacementDecision::default();
        for worker in workers {
            if worker.free.len() < ask.gang.accelerators {
                decision.passed_over.push(PassedOver {
                    upstream: worker.upstream.clone(),
                    reason: "too few free accelerators",
                });
            }
        }
        let groups = group_workers(ask.gang.adjacency, workers);
        let placements = groups.values().filter_map(|g| pack(ask, g));
        let best = placements.min_by_key(|p| p.left_over);
        decision.members = best.map(|p| p.members).unwrap_or_default();
        decision
    }
}

/// One way to place the gang.
struct Packing {
    members: Vec<UpstreamName>,
    left_over: u32,
}

/// Groups workers by the unit that the members have to share.
fn group_workers(
    adjacency: Adjacency,
    workers: &[WorkerView],
) -> BTreeMap<String, Vec<&WorkerView>> {
    let mut groups: BTreeMap<String, Vec<&WorkerView>> = BTreeMap::new();
    for worker in workers {
        let unit = match adjacency {
            Adjacency::Worker => worker.upstream.to_string(),
            Adjacency::Rack => format!("{}/{}", worker.data_centre, worker.rack),
            Adjacency::DataCentre => worker.data_centre.to_string(),
            Adjacency::Region => worker.region.to_string(),
            Adjacency::Any => String::new(),
        };
        groups.entry(unit).or_default().push(worker);
    }
    groups
}

/// Packs the gang on the workers of one group, the fullest first.
fn pack(
    ask: &PlacementAsk,
    group: &[&WorkerView],
) -> Option<Packing> {
    let mut workers = group.to_vec();
    workers.sort_by_key(|w| (w.free.len(), w.upstream.clone()));
    let mut packing = Packing {
        members: Vec::new(),
        left_over: 0,
    };
    for worker in workers {
        let wanted = ask.gang.members - packing.members.len() as u32;
        let fitting = (worker.free.len() / ask.gang.accelerators).min(wanted);
        for _ in 0..fitting {
            packing.members.push(worker.upstream.clone());
        }
        if fitting > 0 {
            packing.left_over += worker.free.len() - fitting * ask.gang.accelerators;
        }
    }
    let complete = packing.members.len() as u32 == ask.gang.members;
    complete.then_some(packing)
}
