//! Reserves workers for pending units that do not fit.

use {
    super::{
        Host, PendingUnit, PlacementRequest, Scheduler, Victim, VictimKind, choose_victims,
        scheduling_pass::{PassHost, claim_capacity},
    },
    crate::{
        prelude::*,
        request::{StepJobId, UnitId},
    },
    std::collections::BTreeMap,
};

/// The lower bound on a run's assumed remaining time, in milliseconds, because declared run times
/// are often far off.
const MIN_REMAINING_MS: u64 = 300;

/// The units for which the last pass reserved workers, with since when.
pub(super) type Reservations = BTreeMap<(StepJobId, UnitId), Millis>;

impl Scheduler {
    /// Reserves the workers that are likely to be free first for a unit that does not fit. Returns
    /// whether there are such workers.
    pub(super) fn reserve_capacity(
        &self,
        pending: &PendingUnit,
        req: &PlacementRequest<'_>,
        hosts_after_stops: &[Host],
        hosts: &mut [PassHost],
        now: Millis,
    ) -> bool {
        let running = self.units_by_remaining_time(now);
        let choice = choose_victims(&*self.placement_policy, req, hosts_after_stops, &running);
        let Some((awaited, placed)) = choice else {
            return false;
        };
        claim_capacity(hosts, &placed, req.step);
        if !self.reservations.contains_key(&(pending.job, pending.unit)) {
            tracing::info!(
                job = %pending.job,
                unit = %pending.unit,
                priority = pending.priority,
                waited_ms = pending.waited.as_millis() as u64,
                upstreams = ?placed.iter().map(UpstreamName::as_str).collect::<Vec<_>>(),
                awaited_units = awaited.len(),
                "workers reserved for a unit that waits for running work",
            );
        }
        true
    }

    /// Records the units for which the pass has reserved workers.
    pub(super) fn record_reservations(
        &mut self,
        reserved: &[(StepJobId, UnitId)],
        now: Millis,
    ) {
        let ended = self.reservations.iter();
        let ended = ended.filter(|(unit, _)| !reserved.contains(unit));
        for ((job, unit), since) in ended {
            let held_ms = now.since(*since).as_millis() as u64;
            tracing::info!(%job, %unit, held_ms, "reservation ended");
        }
        let since = |unit| self.reservations.get(unit).copied().unwrap_or(now);
        let reservations = reserved.iter().map(|unit| (*unit, since(unit)));
        self.reservations = reservations.collect();
    }

    /// Returns the running units with the remaining accelerator time of each as its cost.
    fn units_by_remaining_time(
        &self,
        now: Millis,
    ) -> Vec<Victim> {
        let units = self.jobs.values().flat_map(|open| {
            open.active_units.iter().filter_map(move |(unit, a)| {
                let step = open.job.step_of(*unit)?;
                let age_ms = Millis::from(now.since(a.active_since)).0;
                let remaining_ms = step
                    .estimate_ms
                    .saturating_sub(age_ms)
                    .max(MIN_REMAINING_MS);
                let accelerators = step.demand.accelerators * u64::from(step.members_per_unit());
                let cost = remaining_ms * accelerators.max(1);
                Some(self.victim(open.job.id, *unit, cost, VictimKind::LessUrgent))
            })
        });
        units.collect()
    }
}
