//! Chooses workers for the members of a unit.

use crate::{
    prelude::*,
    request::{Resources, Step},
};

/// A worker that could take members, with the room that is left there.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// The worker.
    pub upstream: UpstreamName,
    /// The rack.
    pub rack: Option<Arc<str>>,
    /// The room that is left.
    pub free_capacity: Resources,
    /// What the worker has in all.
    pub capacity: Resources,
    /// How many subtasks of the same step and occurrence run there.
    pub sibling_runs: u32,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The step.
    pub step: &'a Step,
    /// How many members.
    pub members: u32,
    /// How long the unit has been waiting.
    pub waited: Duration,
    /// How many times as long work takes far from its data or over several racks.
    pub remote_factor: u64,
}

/// The rules by which members are placed.
pub trait UnitPlacementPolicy {
    /// Returns the worker of each member; `None` when the unit should wait.
    fn place(
        &self,
        req: &PlacementRequest<'_>,
        hosts: &[Host],
    ) -> Option<Vec<UpstreamName>>;

    /// Returns the groups of workers of which each, once it is cleared, takes the unit well.
    fn candidate_groups(
        &self,
        req: &PlacementRequest<'_>,
        hosts: &[Host],
    ) -> Vec<Vec<Host>>;
}

/// Places near the data and on one rack while waiting costs less than running far away, and packs
/// tightly. It answers loads in which large members need whole workers: it keeps these free by
/// filling the fullest worker that still has room.
#[derive(Clone, Copy, Debug, Default)]
pub struct RackFirstPlacement;

impl UnitPlacementPolicy for RackFirstPlacement {
    fn place(
        &self,
        req: &PlacementRequest<'_>,
        hosts: &[Host],
    ) -> Option<Vec<UpstreamName>> {
        if let Some(rack) = &req.step.data_rack
            && hosts.iter().any(|h| h.rack.as_ref() == Some(rack))
        {
            let near: Vec<Host> = on_rack(hosts, rack);
            if let Some(placed) = pack_members(req, near) {
                return Some(placed);
            }
            if !is_remote_faster(req) && fits_when_empty(req, &on_rack(hosts, rack)) {
                return None;
            }
        }
        if req.step.rack_bound && req.members > 1 {
            if let Some(placed) = place_on_one_rack(req, hosts) {
                return Some(placed);
            }
            let racks = racks(hosts);
            let mut racks = racks.iter();
            if !is_remote_faster(req) && racks.any(|r| fits_when_empty(req, &on_rack(hosts, r))) {
                return None;
            }
        }
        pack_members(req, hosts.to_vec())
    }

    fn candidate_groups(
        &self,
        req: &PlacementRequest<'_>,
        hosts: &[Host],
    ) -> Vec<Vec<Host>> {
        let is_bound = req.step.rack_bound && req.members > 1;
        let near = match &req.step.data_rack {
            Some(rack) => vec![on_rack(hosts, rack)],
            None if is_bound => {
                let racks = racks(hosts);
                racks.iter().map(|r| on_rack(hosts, r)).collect()
            }
            None => Vec::new(),
        };
        let near: Vec<Vec<Host>> = near
            .into_iter()
            .filter(|g| fits_when_empty(req, g))
            .collect();
        if near.is_empty() {
            vec![hosts.to_vec()]
        } else {
            near
        }
    }
}

/// Tells whether running far away now ends sooner than waiting on.
fn is_remote_faster(req: &PlacementRequest<'_>) -> bool {
    let extra = req.step.estimate_ms * req.remote_factor.saturating_sub(1);
    req.waited.as_millis() > u128::from(extra)
}

fn on_rack(
    hosts: &[Host],
    rack: &Arc<str>,
) -> Vec<Host> {
    let own = hosts.iter().filter(|h| h.rack.as_ref() == Some(rack));
    own.cloned().collect()
}

fn racks(hosts: &[Host]) -> Vec<Arc<str>> {
    let mut racks: Vec<Arc<str>> = hosts.iter().filter_map(|h| h.rack.clone()).collect();
    racks.sort();
    racks.dedup();
    racks
}

/// Tells whether empty hosts could take all members.
fn fits_when_empty(
    req: &PlacementRequest<'_>,
    hosts: &[Host],
) -> bool {
    let empty = hosts.iter().map(|h| Host {
        free_capacity: h.capacity,
        sibling_runs: 0,
        ..h.clone()
    });
    pack_members(req, empty.collect()).is_some()
}

/// Places all members on the rack that has the least room and still takes them.
fn place_on_one_rack(
    req: &PlacementRequest<'_>,
    hosts: &[Host],
) -> Option<Vec<UpstreamName>> {
    let fitting = racks(hosts).into_iter().filter_map(|rack| {
        let own = on_rack(hosts, &rack);
        let free: u64 = own.iter().map(|h| h.free_capacity.accelerators).sum();
        pack_members(req, own).map(|placed| (free, placed))
    });
    let tightest = fitting.min_by_key(|(free, _)| *free);
    tightest.map(|(_, placed)| placed)
}

/// Puts each member on the fullest host that still takes it.
fn pack_members(
    req: &PlacementRequest<'_>,
    mut hosts: Vec<Host>,
) -> Option<Vec<UpstreamName>> {
    let limit = req.step.max_per_upstream;
    let mut placed = Vec::new();
    for _ in 0..req.members {
        let fitting = hosts.iter_mut().filter(|h| {
            req.step.demand.fits_in(&h.free_capacity) && (limit == 0 || h.sibling_runs < limit)
        });
        let host =
            fitting.min_by_key(|h| (h.free_capacity.accelerators, h.free_capacity.cpu_milli))?;
        host.free_capacity = host.free_capacity.less(&req.step.demand);
        host.sibling_runs += 1;
        placed.push(host.upstream.clone());
    }
    Some(placed)
}
