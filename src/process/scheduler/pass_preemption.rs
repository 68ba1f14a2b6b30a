//! Preempts other work for pending units that do not fit.

use {
    super::{
        ActiveUnit, Host, PendingUnit, PlacementRequest, Scheduler, Victim, VictimKind,
        choose_victims,
        scheduler::TERM_SHIFT_BITS,
        scheduling_pass::{PassHost, claim_capacity},
    },
    crate::{
        prelude::*,
        request::{Resources, Step, StepJobId, UnitId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The work time that is lost whenever a run is stopped, in milliseconds: its stop and its next
/// start. A run that saves checkpoints also saves one when it is stopped, so it loses no more.
const RESTART_COST_MS: u64 = 450;

/// The further time that a gang loses when it is stopped, in milliseconds: room for all its members
/// at once comes much later than room for one subtask.
const GANG_RESTART_COST_MS: u64 = 4000;

/// How often a gang is preempted for work that is not guaranteed its room.
const MAX_GANG_PREEMPTIONS: u64 = 2;

impl Scheduler {
    /// Preempts other work so that an urgent unit can start: less urgent work, and if that does not
    /// suffice for a unit within its account's guarantee, urgent work of other accounts that no
    /// guarantee covers, and after some time urgent work that fits elsewhere. Returns `false`, and
    /// stops nothing, when that would not free enough.
    pub(super) fn preempt_for(
        &mut self,
        pending: &PendingUnit,
        req: &PlacementRequest<'_>,
        hosts_after_stops: &[Host],
        hosts: &mut [PassHost],
        now: Millis,
    ) -> bool {
        let candidates = self.preemptible_units(now, pending);
        let choice = choose_victims(&*self.placement_policy, req, hosts_after_stops, &candidates)
            .or_else(|| {
                self.choose_relocations(pending, req, hosts_after_stops, hosts, candidates, now)
            });
        let Some((victims, placed)) = choice else {
            return false;
        };
        let count = |kind| victims.iter().filter(|v| v.kind == kind).count();
        let (uncovered, relocated) = (count(VictimKind::Uncovered), count(VictimKind::Relocated));
        tracing::info!(job = %pending.job, unit = %pending.unit, victims = victims.len(), uncovered, relocated, guaranteed = pending.is_guaranteed, "preempting other work");
        self.stop_victims(&victims, hosts);
        claim_capacity(hosts, &placed, req.step);
        true
    }

    /// Stops units so that another one can be placed.
    pub(super) fn stop_victims(
        &mut self,
        victims: &[Victim],
        hosts: &mut [PassHost],
    ) {
        for victim in victims {
            self.counts.count("preempted");
            release_after_stop(hosts, victim);
            let (id, unit) = victim.unit;
            if let Some(job) = self.jobs.get_mut(&id) {
                let stops = match victim.kind {
                    VictimKind::Lent => &mut job.reclaims,
                    _ => &mut job.preemptions,
                };
                *stops.entry(unit).or_default() += 1;
            }
            let why = match victim.kind {
                VictimKind::Lent => "its capacity is reserved for a unit that can start now",
                VictimKind::LessUrgent => "preempted by more urgent work",
                VictimKind::Uncovered => {
                    "not covered by its account's guarantee, preempted for another account's guarantee"
                }
                VictimKind::Relocated => "relocated, because its worker is needed for a guarantee",
            };
            self.stop_unit(id, unit, why);
        }
    }

    /// Returns the running units that may be stopped for a pending unit, with what stopping each
    /// would cost: those that are less urgent, and for a unit that is guaranteed its room also the
    /// urgent ones of other accounts that no guarantee covers.
    ///
    /// Of equal losses, that of the less urgent work counts less, and that of a unit that was stopped
    /// before counts more; a gang that was stopped several times is left alone unless the room is
    /// guaranteed, so that it is not stopped again and again.
    fn preemptible_units(
        &self,
        now: Millis,
        pending: &PendingUnit,
    ) -> Vec<Victim> {
        let (priority, is_guaranteed) = (pending.priority, pending.is_guaranteed);
        let preemptible_urgent = if is_guaranteed {
            self.urgent_units_preemptible_for(pending)
        } else {
            BTreeSet::new()
        };
        let preemptible_urgent = &preemptible_urgent;
        let units = self.jobs.values().flat_map(|open| {
            let is_less_urgent = open.job.priority > priority;
            let active = open.active_units.iter().filter(move |(unit, a)| {
                let unit = (open.job.id, **unit);
                (is_less_urgent || preemptible_urgent.contains(&unit)) && !a.is_stopping
            });
            active.filter_map(move |(unit, a)| {
                let step = open.job.step_of(*unit)?;
                let preemptions = open.preemptions.get(unit).copied().unwrap_or_default();
                if step.gang && preemptions >= MAX_GANG_PREEMPTIONS && !is_guaranteed {
                    return None;
                }
                let urgency = u64::from(open.job.priority.saturating_sub(priority)).max(1);
                let cost = lost_work(step, a, now) * (1 + preemptions) / urgency;
                let kind = if is_less_urgent {
                    VictimKind::LessUrgent
                } else {
                    VictimKind::Uncovered
                };
                Some(self.victim(open.job.id, *unit, cost, kind))
            })
        });
        units.collect()
    }

    /// Returns the running units of priority 0 of other accounts that may be stopped for a unit that
    /// is guaranteed its room: those that are beyond the guarantees of their accounts, and those
    /// without accelerators if the pending unit needs some. A guarantee covers accelerators only, and
    /// they cannot be used while such units take all processors or all memory beside them.
    ///
    /// The units of an account count in the order in which they became active, and a unit is within
    /// the guarantee if the total up to it is. A unit that started within the guarantee therefore
    /// stays within it: units that become active later do not count before it. The order of starts
    /// of an earlier term is unknown, and that of the jobs' acceptance stands for it. Units that are
    /// being stopped do not count.
    fn urgent_units_preemptible_for(
        &self,
        pending: &PendingUnit,
    ) -> BTreeSet<(StepJobId, UnitId)> {
        let (Some(table), Some(claimant)) = (&self.queue_table, self.jobs.get(&pending.job)) else {
            return BTreeSet::new();
        };
        let needs_accelerators = pending.total_demand.accelerators > 0;
        let urgent = self.jobs.values().filter(|j| j.job.priority == 0);
        let others = urgent.filter(|j| j.job.account != claimant.job.account);
        let units = others.flat_map(|open| {
            let active = open.active_units.iter().filter(|(_, a)| !a.is_stopping);
            active.filter_map(move |(unit, a)| {
                let step = open.job.step_of(*unit)?;
                let accelerators = step.demand.accelerators * u64::from(step.members_per_unit());
                let started_in = a.run >> TERM_SHIFT_BITS;
                let started_at = (started_in == self.term).then_some(a.active_since);
                let order = (started_in, started_at, open.offset, *unit);
                Some((&open.job.account, order, open.job.id, accelerators))
            })
        });
        let mut units: Vec<_> = units.collect();
        units.sort_unstable();
        let mut totals: BTreeMap<&AccountName, u64> = BTreeMap::new();
        let preemptible = units
            .into_iter()
            .filter_map(|(account, order, id, accelerators)| {
                let total = totals.entry(account).or_default();
                *total += accelerators;
                let guarantee = table.accounts.get(account);
                let guaranteed = guarantee.map_or(0, |a| a.guaranteed_accelerators);
                let may_stop = match accelerators {
                    0 => needs_accelerators,
                    _ => *total > guaranteed,
                };
                may_stop.then_some((id, order.3))
            });
        preemptible.collect()
    }

    pub(super) fn victim(
        &self,
        id: StepJobId,
        unit: UnitId,
        cost: u64,
        kind: VictimKind,
    ) -> Victim {
        let mut freed_by_worker: BTreeMap<UpstreamName, Resources> = BTreeMap::new();
        let active = self.jobs.get(&id).and_then(|j| j.active_units.get(&unit));
        let demand = self.demand_of(id, unit).unwrap_or_default();
        for name in active.into_iter().flat_map(|a| a.members.values()) {
            *freed_by_worker.entry(name.clone()).or_default() += demand;
        }
        Victim {
            unit: (id, unit),
            cost,
            kind,
            freed_by_worker,
        }
    }
}

/// Returns the work that stopping a unit loses, in thousandths of a core times seconds.
pub(super) fn lost_work(
    step: &Step,
    active: &ActiveUnit,
    now: Millis,
) -> u64 {
    let age_ms = Millis::from(now.since(active.active_since)).0;
    let unsaved_ms = if step.checkpoints { 0 } else { age_ms };
    let gang_ms = if step.gang { GANG_RESTART_COST_MS } else { 0 };
    let lost_ms = unsaved_ms + RESTART_COST_MS + gang_ms;
    let weight = step.demand.cpu_equivalent_milli() * u64::from(step.members_per_unit());
    weight * lost_ms / 1000
}

/// Adds what a victim frees to the capacity that is free once the stops have ended.
pub(super) fn release_after_stop(
    hosts: &mut [PassHost],
    victim: &Victim,
) {
    for host in hosts {
        if let Some(freed) = victim.freed_by_worker.get(&host.host.upstream) {
            host.free_after_stops += *freed;
        }
    }
}
