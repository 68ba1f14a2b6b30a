//! Chooses the running units to stop so that another unit can be placed.

use {
    super::{Host, PlacementRequest, UnitPlacementPolicy},
    crate::{
        prelude::*,
        request::{Resources, StepJobId, UnitId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Why a running unit may be stopped for another one. A plan spares the later kinds first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum VictimKind {
    /// It runs on capacity that is reserved for the unit.
    Lent,
    /// It is less urgent than the unit that is to be placed.
    LessUrgent,
    /// It is as urgent, but no guarantee covers it.
    Uncovered,
    /// It is as urgent and covered by a guarantee, and starts again on another worker at once.
    Relocated,
}

/// A running unit that may be stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Victim {
    /// The job and unit.
    pub unit: (StepJobId, UnitId),
    /// What stopping it costs. For preemption this is the lost work in thousandths of a core times
    /// seconds, for a reservation the remaining time in milliseconds times accelerators.
    pub cost: u64,
    /// Why it may be stopped. Work of a later kind is stopped only where that of the earlier ones does
    /// not suffice, whatever that costs.
    pub kind: VictimKind,
    /// The resources that it frees on each worker.
    pub freed_by_worker: BTreeMap<UpstreamName, Resources>,
}

/// The cost of stopping several victims by their kind. The last kind is compared first.
type TotalCost = (u64, u64, u64);

/// Returns the units to stop so that a unit can be placed, and the worker of each of its members
/// then. Plans each group of workers that could hold the whole unit by itself and chooses the group
/// with the least cost. This serves bursts of urgent work whose members need whole workers of one
/// rack, while many small units of less urgent work run there.
pub fn choose_victims(
    policy: &dyn UnitPlacementPolicy,
    req: &PlacementRequest<'_>,
    hosts: &[Host],
    victims: &[Victim],
) -> Option<(Vec<Victim>, Vec<UpstreamName>)> {
    let groups = policy.candidate_groups(req, hosts);
    let plans = groups
        .iter()
        .filter_map(|group| ClearingPlan::new(group, victims).plan(req));
    let mut plans: Vec<(TotalCost, BTreeSet<usize>)> = plans.collect();
    plans.sort();
    plans.into_iter().find_map(|(_, chosen)| {
        let chosen: Vec<Victim> = chosen.into_iter().map(|i| victims[i].clone()).collect();
        let placed = policy.place(req, &hosts_without(hosts, &chosen))?;
        Some(without_needless_victims(policy, req, hosts, chosen, placed))
    })
}

/// Drops the urgent victims without which the unit can be placed as well, the last kind and the
/// highest cost first. A plan chooses member by member, so a gang that is chosen for a later member
/// may free what an earlier victim was chosen for.
fn without_needless_victims(
    policy: &dyn UnitPlacementPolicy,
    req: &PlacementRequest<'_>,
    hosts: &[Host],
    mut chosen: Vec<Victim>,
    mut placed: Vec<UpstreamName>,
) -> (Vec<Victim>, Vec<UpstreamName>) {
    let urgent = chosen.iter().filter(|v| v.kind > VictimKind::LessUrgent);
    let mut urgent: Vec<_> = urgent.map(|v| (v.kind, v.cost, v.unit)).collect();
    urgent.sort_unstable();
    for (_, _, unit) in urgent.into_iter().rev() {
        let others = chosen.iter().filter(|v| v.unit != unit).cloned();
        let others: Vec<Victim> = others.collect();
        if let Some(with_others) = policy.place(req, &hosts_without(hosts, &others)) {
            chosen = others;
            placed = with_others;
        }
    }
    (chosen, placed)
}

/// A plan to free one group of workers for a unit, member by member.
struct ClearingPlan<'a> {
    hosts: Vec<Host>,
    victims: &'a [Victim],
    /// The indices of the victims on each worker by kind, then the lowest cost first.
    victims_by_host: BTreeMap<&'a UpstreamName, Vec<usize>>,
    chosen: BTreeSet<usize>,
}

impl<'a> ClearingPlan<'a> {
    fn new(
        hosts: &[Host],
        victims: &'a [Victim],
    ) -> Self {
        let mut victims_by_host: BTreeMap<&UpstreamName, Vec<usize>> = BTreeMap::new();
        for (i, victim) in victims.iter().enumerate() {
            for name in victim.freed_by_worker.keys() {
                victims_by_host.entry(name).or_default().push(i);
            }
        }
        for indices in victims_by_host.values_mut() {
            indices.sort_by_key(|i| {
                let victim = &victims[*i];
                (victim.kind, victim.cost, victim.unit)
            });
        }
        Self {
            hosts: hosts.to_vec(),
            victims,
            victims_by_host,
            chosen: BTreeSet::new(),
        }
    }

    /// Returns the cost of placing all members, and the indices of the chosen victims.
    fn plan(
        mut self,
        req: &PlacementRequest<'_>,
    ) -> Option<(TotalCost, BTreeSet<usize>)> {
        for _ in 0..req.members {
            let options = (0..self.hosts.len()).filter_map(|host| self.placement_cost(req, host));
            let (_, _, host, added) = options.min()?;
            self.place_member(req, host, added);
        }
        Some((self.total_cost(&self.chosen), self.chosen))
    }

    /// Returns how one more member fits on a host: the added cost, the accelerators that are free
    /// there, the host's index, and the victims to add.
    fn placement_cost(
        &self,
        req: &PlacementRequest<'_>,
        host: usize,
    ) -> Option<(TotalCost, u64, usize, Vec<usize>)> {
        let h = &self.hosts[host];
        let limit = req.step.max_per_upstream;
        if limit > 0 && h.sibling_runs >= limit {
            return None;
        }
        let mut free = h.free_capacity;
        let mut added = Vec::new();
        let on_host = self.victims_by_host.get(&h.upstream);
        let mut remaining = on_host.into_iter().flatten();
        while !req.step.demand.fits_in(&free) {
            let next = remaining.find(|i| !self.chosen.contains(i))?;
            free += self.freed_on(*next, h);
            added.push(*next);
        }
        // Removes victims that turn out not to be needed, the last kind and the highest cost first.
        for i in (0..added.len()).rev() {
            let without = free.saturating_sub(&self.freed_on(added[i], h));
            if req.step.demand.fits_in(&without) {
                free = without;
                added.remove(i);
            }
        }
        let cost = self.total_cost(&added);
        Some((cost, h.free_capacity.accelerators, host, added))
    }

    fn total_cost<'i, I>(
        &self,
        indices: I,
    ) -> TotalCost
    where
        I: IntoIterator<Item = &'i usize>,
    {
        indices
            .into_iter()
            .fold(TotalCost::default(), |mut total, i| {
                let victim = &self.victims[*i];
                *match victim.kind {
                    VictimKind::Relocated => &mut total.0,
                    VictimKind::Uncovered => &mut total.1,
                    VictimKind::LessUrgent | VictimKind::Lent => &mut total.2,
                } += victim.cost;
                total
            })
    }

    fn freed_on(
        &self,
        victim: usize,
        host: &Host,
    ) -> Resources {
        let freed = self.victims[victim].freed_by_worker.get(&host.upstream);
        freed.copied().unwrap_or_default()
    }

    fn place_member(
        &mut self,
        req: &PlacementRequest<'_>,
        host: usize,
        added: Vec<usize>,
    ) {
        for victim in &added {
            release_victim(&mut self.hosts, &self.victims[*victim]);
        }
        self.chosen.extend(added);
        let host = &mut self.hosts[host];
        host.free_capacity = host.free_capacity.saturating_sub(&req.step.demand);
        host.sibling_runs += 1;
    }
}

/// Returns the hosts with the capacity that is free once the victims have ended.
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
