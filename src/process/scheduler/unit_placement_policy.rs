//! The policy that chooses workers for the members of a unit.

use crate::{
    prelude::*,
    request::{Resources, Step},
};

/// A candidate worker for the members of a unit, with its free capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// The worker's name, which is that of its guard.
    pub upstream: UpstreamName,
    /// The worker's rack, if it has one.
    pub rack: Option<Arc<str>>,
    /// The capacity that is free.
    pub free_capacity: Resources,
    /// The worker's whole capacity.
    pub capacity: Resources,
    /// The number of subtasks of the same step and occurrence that run there.
    pub sibling_runs: u32,
}

/// A request to place the members of one unit.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The step of the unit.
    pub step: &'a Step,
    /// The number of members that start together.
    pub members: u32,
    /// How long the unit has been waiting.
    pub waited: Duration,
    /// The factor by which work takes longer remote from its data or spread over several racks.
    pub remote_factor: u64,
    /// How long the unit may wait for one rack or for that of its data; `None` if it may wait for as
    /// long as that is faster than running remote.
    pub max_rack_wait: Option<Duration>,
}

/// A policy that chooses the workers of a unit's members.
pub trait UnitPlacementPolicy {
    /// Returns the worker of each member, or `None` when the unit should wait.
    fn place(
        &self,
        req: &PlacementRequest<'_>,
        hosts: &[Host],
    ) -> Option<Vec<UpstreamName>>;

    /// Returns the groups of workers that each suit the unit as a whole once enough of their
    /// capacity is free.
    fn candidate_groups(
        &self,
        req: &PlacementRequest<'_>,
        hosts: &[Host],
    ) -> Vec<Vec<Host>>;
}

/// Places members on the rack of their data and on one rack, as long as waiting for it takes less
/// time than running remote. Fills the fullest worker that still fits a member, which keeps whole
/// workers free for large members.
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
            let local: Vec<Host> = on_rack(hosts, rack);
            if let Some(placed) = pack_members(req, local) {
                return Some(placed);
            }
            if !accepts_remote(req) && fits_when_empty(req, &on_rack(hosts, rack)) {
                return None;
            }
        }
        if req.step.rack_bound && req.members > 1 {
            if let Some(placed) = place_on_one_rack(req, hosts) {
                return Some(placed);
            }
            let racks = racks(hosts);
            let mut racks = racks.iter();
            if !accepts_remote(req) && racks.any(|r| fits_when_empty(req, &on_rack(hosts, r))) {
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
        let local = match &req.step.data_rack {
            Some(rack) => vec![on_rack(hosts, rack)],
            None if is_bound => {
                let racks = racks(hosts);
                racks.iter().map(|r| on_rack(hosts, r)).collect()
            }
            None => Vec::new(),
        };
        let local: Vec<Vec<Host>> = local
            .into_iter()
            .filter(|g| fits_when_empty(req, g))
            .collect();
        if local.is_empty() {
            return vec![hosts.to_vec()];
        }
        let mut groups = local;
        if has_waited_for_rack(req) {
            groups.push(hosts.to_vec());
        }
        groups
    }
}

/// Returns whether the unit may start remote from its data or on several racks.
fn accepts_remote(req: &PlacementRequest<'_>) -> bool {
    is_remote_faster(req) || has_waited_for_rack(req)
}

/// Returns whether the unit has waited for a rack for as long as it may.
fn has_waited_for_rack(req: &PlacementRequest<'_>) -> bool {
    req.max_rack_wait.is_some_and(|max| req.waited >= max)
}

/// Returns whether the unit has waited longer than remote execution would add to its run time.
fn is_remote_faster(req: &PlacementRequest<'_>) -> bool {
    let extra_ms = req.step.estimate_ms * req.remote_factor.saturating_sub(1);
    req.waited.as_millis() > u128::from(extra_ms)
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

/// Returns whether the hosts could hold all members if they were empty.
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

/// Places all members on the rack with the fewest free accelerators that still fits them.
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

/// Places each member on the fullest host that still fits it.
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
        host.free_capacity = host.free_capacity.saturating_sub(&req.step.demand);
        host.sibling_runs += 1;
        placed.push(host.upstream.clone());
    }
    Some(placed)
}
