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
    pub room: Resources,
    /// What the worker has in all.
    pub capacity: Resources,
    /// How many subtasks of the same step and occurrence run there.
    pub siblings: u32,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest<'a> {
    /// The step.
    pub step: &'a Step,
    /// How many members.
    pub members: u32,
    /// How long the unit has been waiting.
    pub waited: Duration,
    /// How many times as long work takes far from its data or over several racks.
    pub far_factor: u64,
}

/// The rules by which members are placed.
pub trait PlaceRules {
    /// Returns the worker of each member; `None` when the unit should wait.
    fn place(
        &self,
        req: &PlaceRequest<'_>,
        hosts: &[Host],
    ) -> Option<Vec<UpstreamName>>;

    /// Returns the groups of workers of which each, once it is cleared, takes the unit well.
    fn groups(
        &self,
        req: &PlaceRequest<'_>,
        hosts: &[Host],
    ) -> Vec<Vec<Host>>;
}

/// Places near the data and on one rack while waiting costs less than running far away, and packs
/// tightly. It answers loads in which large members need whole workers: it keeps these free by
/// filling the fullest worker that still has room.
#[derive(Clone, Copy, Debug, Default)]
pub struct RackFirstPlacing;

impl PlaceRules for RackFirstPlacing {
    fn place(
        &self,
        req: &PlaceRequest<'_>,
        hosts: &[Host],
    ) -> Option<Vec<UpstreamName>> {
        if let Some(rack) = &req.step.data_rack
            && hosts.iter().any(|h| h.rack.as_ref() == Some(rack))
        {
            let near: Vec<Host> = on_rack(hosts, rack);
            if let Some(placed) = pack(req, near) {
                return Some(placed);
            }
            if !is_far_better(req) && could_hold(req, &on_rack(hosts, rack)) {
                return None;
            }
        }
        if req.step.rack_bound && req.members > 1 {
            if let Some(placed) = place_on_one_rack(req, hosts) {
                return Some(placed);
            }
            let racks = racks(hosts);
            let mut racks = racks.iter();
            if !is_far_better(req) && racks.any(|r| could_hold(req, &on_rack(hosts, r))) {
                return None;
            }
        }
        pack(req, hosts.to_vec())
    }

    fn groups(
        &self,
        req: &PlaceRequest<'_>,
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
        let near: Vec<Vec<Host>> = near.into_iter().filter(|g| could_hold(req, g)).collect();
        if near.is_empty() {
            vec![hosts.to_vec()]
        } else {
            near
        }
    }
}

/// Tells whether running far away now ends sooner than waiting on.
fn is_far_better(req: &PlaceRequest<'_>) -> bool {
    let extra = req.step.estimate_ms * req.far_factor.saturating_sub(1);
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
fn could_hold(
    req: &PlaceRequest<'_>,
    hosts: &[Host],
) -> bool {
    let empty = hosts.iter().map(|h| Host {
        room: h.capacity,
        siblings: 0,
        ..h.clone()
    });
    pack(req, empty.collect()).is_some()
}

/// Places all members on the rack that has the least room and still takes them.
fn place_on_one_rack(
    req: &PlaceRequest<'_>,
    hosts: &[Host],
) -> Option<Vec<UpstreamName>> {
    let fitting = racks(hosts).into_iter().filter_map(|rack| {
        let own = on_rack(hosts, &rack);
        let free: u64 = own.iter().map(|h| h.room.accelerators).sum();
        pack(req, own).map(|placed| (free, placed))
    });
    let tightest = fitting.min_by_key(|(free, _)| *free);
    tightest.map(|(_, placed)| placed)
}

/// Puts each member on the fullest host that still takes it.
fn pack(
    req: &PlaceRequest<'_>,
    mut hosts: Vec<Host>,
) -> Option<Vec<UpstreamName>> {
    let limit = req.step.max_per_upstream;
    let mut placed = Vec::new();
    for _ in 0..req.members {
        let fitting = hosts
            .iter_mut()
            .filter(|h| req.step.demand.fits_in(&h.room) && (limit == 0 || h.siblings < limit));
        let host = fitting.min_by_key(|h| (h.room.accelerators, h.room.cpu_milli))?;
        host.room = host.room.saturating_sub(&req.step.demand);
        host.siblings += 1;
        placed.push(host.upstream.clone());
    }
    Some(placed)
}
