//! Relocates urgent work that is scattered over many workers, so that a unit within its account's
//! guarantee finds workers that are free enough.

use {
    super::{
        Host, PendingUnit, PlacementRequest, Scheduler, Victim, VictimKind, choose_victims,
        pass_preemption::{lost_work, release_after_stop},
        scheduling_pass::{PassHost, claim_capacity},
    },
    crate::prelude::*,
    std::collections::BTreeSet,
};

/// The maximum number of plans that are made for one pending unit in one pass.
const MAX_PLANS: usize = 8;

impl Scheduler {
    /// Chooses running urgent units to relocate, besides other victims, so that a unit within its
    /// account's guarantee can be placed. Each one fits on other workers once the pending unit is
    /// placed. `candidates` are the other possible victims. Returns the victims and the worker of each
    /// member of the pending unit; `None` if there is no such plan, or while running work may still end
    /// by itself in time.
    ///
    /// This serves guarantees whose accelerators are free in sum but not on any one worker.
    pub(super) fn choose_relocations(
        &self,
        pending: &PendingUnit,
        req: &PlacementRequest<'_>,
        hosts_after_stops: &[Host],
        hosts: &[PassHost],
        mut candidates: Vec<Victim>,
        now: Millis,
    ) -> Option<(Vec<Victim>, Vec<UpstreamName>)> {
        let needs_accelerators = pending.total_demand.accelerators > 0;
        let is_due = pending.waited >= self.reclaim_time / 2;
        if !pending.is_guaranteed || !needs_accelerators || !is_due {
            return None;
        }
        let known: BTreeSet<_> = candidates.iter().map(|c| c.unit).collect();
        let relocatable = self.relocatable_units(now).into_iter();
        candidates.extend(relocatable.filter(|v| !known.contains(&v.unit)));
        for _ in 0..MAX_PLANS {
            let choice =
                choose_victims(&*self.placement_policy, req, hosts_after_stops, &candidates);
            let (victims, placed) = choice?;
            let mut hosts = hosts.to_vec();
            for victim in &victims {
                release_after_stop(&mut hosts, victim);
            }
            claim_capacity(&mut hosts, &placed, req.step);
            match self.first_unplaced(&victims, &mut hosts) {
                None => return Some((victims, placed)),
                Some(unplaced) => candidates.retain(|c| c.unit != unplaced.unit),
            }
        }
        None
    }

    /// Returns the running urgent units with accelerators that were not preempted before. Each is
    /// relocated once at most, so that two accounts do not move each other's work again and again.
    fn relocatable_units(
        &self,
        now: Millis,
    ) -> Vec<Victim> {
        let urgent = self.jobs.values().filter(|j| j.job.priority == 0);
        let units = urgent.flat_map(|open| {
            open.active_units.iter().filter_map(move |(unit, a)| {
                let step = open.job.step_of(*unit)?;
                let was_preempted = open.preemptions.contains_key(unit);
                if a.is_stopping || was_preempted || step.demand.accelerators == 0 {
                    return None;
                }
                let cost = lost_work(step, a, now);
                Some(self.victim(open.job.id, *unit, cost, VictimKind::Relocated))
            })
        });
        units.collect()
    }

    /// Places the relocated victims on the hosts, and returns the first one that does not fit.
    fn first_unplaced<'a>(
        &self,
        victims: &'a [Victim],
        hosts: &mut [PassHost],
    ) -> Option<&'a Victim> {
        let mut relocated = victims.iter().filter(|v| v.kind == VictimKind::Relocated);
        relocated.find(|victim| self.place_relocated(victim, hosts).is_none())
    }

    /// Claims the capacity for the next start of a relocated victim; `None` if it does not fit.
    fn place_relocated(
        &self,
        victim: &Victim,
        hosts: &mut [PassHost],
    ) -> Option<()> {
        let (id, unit) = victim.unit;
        let job = &self.jobs.get(&id)?.job;
        let step = job.step_of(unit)?;
        let req = PlacementRequest {
            step,
            members: step.members_per_unit(),
            waited: Duration::ZERO,
            remote_factor: self.remote_factor,
            max_rack_wait: None,
        };
        let free = self.eligible_hosts(hosts, job, step, unit, PassHost::free_after_stops);
        let placed = self.placement_policy.place(&req, &free)?;
        claim_capacity(hosts, &placed, step);
        Some(())
    }
}
