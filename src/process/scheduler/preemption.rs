//! Chooses what to stop for work that comes first.

use {
    super::{Host, PlacementRequest, UnitPlacementPolicy},
    crate::{
        prelude::*,
        request::{Resources, StepJobId, UnitId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A unit that may be stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Victim {
    /// The job and unit.
    pub unit: (StepJobId, UnitId),
    /// The work that is lost with it, in thousandths of a core times seconds.
    pub cost: u64,
    /// What it frees on each worker.
    pub freed_by_worker: BTreeMap<UpstreamName, Resources>,
}

/// Returns the units to stop so that a unit can be placed, and where it then goes. Each group of
/// workers that could take the unit whole is looked at by itself, and the one where the least work
/// is lost is taken. It answers bursts of urgent work, whose members need whole workers of one rack,
/// over many small units of less urgent work.
pub fn choose_victims(
    rules: &dyn UnitPlacementPolicy,
    req: &PlacementRequest<'_>,
    hosts: &[Host],
    victims: &[Victim],
) -> Option<(Vec<Victim>, Vec<UpstreamName>)> {
    let groups = rules.candidate_groups(req, hosts);
    let plans = groups
        .iter()
        .filter_map(|group| ClearingPlan::new(group, victims).plan(req));
    let mut plans: Vec<(u64, BTreeSet<usize>)> = plans.collect();
    plans.sort();
    plans.into_iter().find_map(|(_, chosen)| {
        let chosen: Vec<Victim> = chosen.into_iter().map(|i| victims[i].clone()).collect();
        let placed = rules.place(req, &hosts_without(hosts, &chosen))?;
        Some((chosen, placed))
    })
}

/// A group of workers that is being cleared for a unit, member by member.
struct ClearingPlan<'a> {
    hosts: Vec<Host>,
    victims: &'a [Victim],
    /// The victims on each worker, the least loss first.
    victims_by_host: BTreeMap<&'a UpstreamName, Vec<usize>>,
    chosen: BTreeSet<usize>,
}

impl<'a> ClearingPlan<'a> {
    fn new(
        hosts: &[Host],
        victims: &'a [Victim],
    ) -> Self {
        let mut on_host: BTreeMap<&UpstreamName, Vec<usize>> = BTreeMap::new();
        for (i, victim) in victims.iter().enumerate() {
            for name in victim.freed_by_worker.keys() {
                on_host.entry(name).or_default().push(i);
            }
        }
        for indices in on_host.values_mut() {
            indices.sort_by_key(|i| (victims[*i].cost, victims[*i].unit));
        }
        Self {
            hosts: hosts.to_vec(),
            victims,
            victims_by_host: on_host,
            chosen: BTreeSet::new(),
        }
    }

    /// Returns the work that is lost when all members get a place, and the victims.
    fn plan(
        mut self,
        req: &PlacementRequest<'_>,
    ) -> Option<(u64, BTreeSet<usize>)> {
        for _ in 0..req.members {
            let offers = (0..self.hosts.len()).filter_map(|host| self.placement_cost(req, host));
            let (_, _, host, more) = offers.min()?;
            self.place_member(req, host, more);
        }
        let loss = self.chosen.iter().map(|i| self.victims[*i].cost).sum();
        Some((loss, self.chosen))
    }

    /// Returns what one more member on a host costs: the loss, the room there, the host and the
    /// victims that are not chosen yet.
    fn placement_cost(
        &self,
        req: &PlacementRequest<'_>,
        host: usize,
    ) -> Option<(u64, u64, usize, Vec<usize>)> {
        let h = &self.hosts[host];
        let limit = req.step.max_per_upstream;
        if limit > 0 && h.sibling_runs >= limit {
            return None;
        }
        let mut room = h.free_capacity;
        let mut more = Vec::new();
        let on_host = self.victims_by_host.get(&h.upstream);
        let mut left = on_host.into_iter().flatten();
        while !req.step.demand.fits_in(&room) {
            let next = left.find(|i| !self.chosen.contains(i))?;
            room += self.freed_on(*next, h);
            more.push(*next);
        }
        // Those that turn out needless are spared, the greatest loss first.
        for i in (0..more.len()).rev() {
            let fewer = room.less(&self.freed_on(more[i], h));
            if req.step.demand.fits_in(&fewer) {
                room = fewer;
                more.remove(i);
            }
        }
        let loss = more.iter().map(|i| self.victims[*i].cost).sum();
        Some((loss, h.free_capacity.accelerators, host, more))
    }

    fn freed_on(
        &self,
        victim: usize,
        host: &Host,
    ) -> Resources {
        let frees = self.victims[victim].freed_by_worker.get(&host.upstream);
        frees.copied().unwrap_or_default()
    }

    fn place_member(
        &mut self,
        req: &PlacementRequest<'_>,
        host: usize,
        more: Vec<usize>,
    ) {
        for victim in &more {
            release_victim(&mut self.hosts, &self.victims[*victim]);
        }
        self.chosen.extend(more);
        let host = &mut self.hosts[host];
        host.free_capacity = host.free_capacity.less(&req.step.demand);
        host.sibling_runs += 1;
    }
}

/// Returns the hosts as they are once the victims are gone.
fn hosts_without(
    hosts: &[Host],
    victims: &[Victim],
) -> Vec<Host> {
    let mut hosts = hosts.to_vec();
    for victim in victims {
        release_victim(&mut hosts, victim);
    }
    hosts
}

fn release_victim(
    hosts: &mut [Host],
    victim: &Victim,
) {
    for host in hosts {
        if let Some(freed) = victim.freed_by_worker.get(&host.upstream) {
            host.free_capacity += *freed;
        }
    }
}
