//! What gives way in a turn, and what is kept for units that wait.

use {
    super::{
        Host, PendingUnit, PlacementRequest, Scheduler, Victim, choose_victims,
        scheduling_pass::{PassHost, claim_capacity},
    },
    crate::{
        prelude::*,
        request::{JobPhase, Resources, StepJobId, UnitId},
    },
    std::collections::BTreeMap,
};

/// The work that is lost whenever a run is stopped, in milliseconds: its stop and its next start.
/// A run that saves its progress does so at a stop too, so it loses no more than that.
const RESTART_COST_MS: u64 = 450;

/// The least time that a run is thought to have left, in milliseconds; declared times are far off.
const MIN_REMAINING_MS: u64 = 300;

impl Scheduler {
    /// Stops less urgent work so that an urgent unit can start; `false` when that is not enough.
    pub(super) fn preempt_for(
        &mut self,
        ask: &PendingUnit,
        req: &PlacementRequest<'_>,
        soon_hosts: &[Host],
        hosts: &mut [PassHost],
        now: Millis,
    ) -> bool {
        let lower = self.preemptible_units(now, |priority| priority > ask.priority);
        let choice = choose_victims(&*self.placement_policy, req, soon_hosts, &lower);
        let Some((victims, placed)) = choice else {
            return false;
        };
        tracing::info!(job = %ask.job, unit = %ask.unit, victims = victims.len(), guaranteed = ask.is_guaranteed, "less urgent work gives way");
        for victim in &victims {
            self.counts.count("preempted");
            for host in hosts.iter_mut() {
                if let Some(freed) = victim.freed_by_worker.get(&host.host.upstream) {
                    host.free_after_stops += *freed;
                }
            }
            self.stop_unit(
                victim.unit.0,
                victim.unit.1,
                "more urgent work needs its place",
            );
        }
        claim_capacity(hosts, &placed, req.step);
        true
    }

    /// Keeps the workers that will be free first for a unit that finds no room.
    pub(super) fn reserve_capacity(
        &self,
        req: &PlacementRequest<'_>,
        soon_hosts: &[Host],
        hosts: &mut [PassHost],
        now: Millis,
    ) {
        let running = self.units_by_remaining_time(now);
        if let Some((_, placed)) =
            choose_victims(&*self.placement_policy, req, soon_hosts, &running)
        {
            claim_capacity(hosts, &placed, req.step);
        }
    }

    /// Returns the running units that may be stopped, with the work that would be lost.
    fn preemptible_units<F>(
        &self,
        now: Millis,
        may_stop: F,
    ) -> Vec<Victim>
    where
        F: Fn(u32) -> bool,
    {
        let jobs = self.jobs.values().filter(|j| may_stop(j.job.priority));
        let units = jobs.flat_map(|open| {
            let active = open.active_units.iter().filter(|(_, a)| !a.is_stopping);
            active.filter_map(move |(unit, a)| {
                let step = open.job.step_of(*unit)?;
                let age_ms = Millis::from(now.since(a.active_since)).0;
                let unsaved_ms = if step.checkpoints { 0 } else { age_ms } + RESTART_COST_MS;
                let weight = step.demand.weight() * u64::from(step.members());
                Some(self.victim(open.job.id, *unit, weight * unsaved_ms / 1000))
            })
        });
        units.collect()
    }

    /// Returns the running units with the time until they end in place of a loss.
    fn units_by_remaining_time(
        &self,
        now: Millis,
    ) -> Vec<Victim> {
        let open = self
            .jobs
            .values()
            .filter(|j| j.progress.phase != JobPhase::Queued);
        let units = open.flat_map(|open| {
            open.active_units.iter().filter_map(move |(unit, a)| {
                let step = open.job.step_of(*unit)?;
                let age_ms = Millis::from(now.since(a.active_since)).0;
                let left_ms = step
                    .estimate_ms
                    .saturating_sub(age_ms)
                    .max(MIN_REMAINING_MS);
                let accelerators = step.demand.accelerators * u64::from(step.members());
                Some(self.victim(open.job.id, *unit, left_ms * accelerators.max(1)))
            })
        });
        units.collect()
    }

    fn victim(
        &self,
        id: StepJobId,
        unit: UnitId,
        loss: u64,
    ) -> Victim {
        let mut frees: BTreeMap<UpstreamName, Resources> = BTreeMap::new();
        let active = self.jobs.get(&id).and_then(|j| j.active_units.get(&unit));
        let demand = self.demand_of(id, unit).unwrap_or_default();
        for name in active.into_iter().flat_map(|a| a.members.values()) {
            *frees.entry(name.clone()).or_default() += demand;
        }
        Victim {
            unit: (id, unit),
            cost: loss,
            freed_by_worker: frees,
        }
    }
}
