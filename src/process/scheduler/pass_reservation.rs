//! Reserves workers for pending units that do not fit, and lends what is idle of them.
//!
//! A reservation keeps later units from taking the workers on which a gang or a large unit will
//! start, which would otherwise wait as long as small work keeps coming. It may last much longer
//! than expected, because run times are often declared wrongly. So what stays idle for some time is lent to
//! later units. They are stopped once the unit that it is reserved for can start without them.

use {
    super::{
        Host, JobUnit, PendingUnit, PlacementRequest, Scheduler, Victim, VictimKind,
        choose_victims,
        pass_preemption::lost_work,
        scheduling_pass::{PassHost, claim_capacity},
    },
    crate::{
        prelude::*,
        request::{Resources, StepJob, StepJobId},
    },
    std::collections::BTreeMap,
};

/// The lower bound on a run's assumed remaining time, in milliseconds, because declared run times
/// are often far off.
const MIN_REMAINING_MS: u64 = 300;

/// How long reserved capacity stays idle at most while less than half of the service is in use.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2000);

/// How long reserved capacity stays idle at most otherwise. Lending it earlier stops more work than it
/// completes, as the units that it is reserved for start soon while others end all the time.
const MAX_IDLE_TIME_WHEN_BUSY: Duration = Duration::from_millis(10_000);

/// How often a unit is stopped at most because its capacity was reserved. Afterwards it runs to its end.
const MAX_RECLAIMS: u64 = 2;

/// The units for which the last pass reserved workers, with since when.
pub(super) type Reservations = BTreeMap<JobUnit, Millis>;

/// The part of a worker's free capacity that a reservation holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservedCapacity {
    /// The unit that it is reserved for.
    unit: JobUnit,
    /// The part that is idle.
    idle: Resources,
    /// Whether later units may run there, because it has been reserved for longer than anything should stay
    /// idle.
    is_lent: bool,
}

impl PassHost {
    /// Reserves the capacity of one member of a unit.
    fn reserve(
        &mut self,
        unit: JobUnit,
        demand: &Resources,
        is_lent: bool,
    ) {
        let free = self.host.free_capacity;
        self.host.free_capacity = free.saturating_sub(demand);
        self.free_after_stops = self.free_after_stops.saturating_sub(demand);
        self.reserved.push(ReservedCapacity {
            unit,
            idle: free.saturating_sub(&self.host.free_capacity),
            is_lent,
        });
    }

    /// Returns the free capacity with the reserved parts that are lent.
    fn free_or_lent(&self) -> Resources {
        let lent = self.reserved.iter().filter(|r| r.is_lent);
        lent.fold(self.host.free_capacity, |sum, r| sum + r.idle)
    }

    /// Takes the capacity of one member, out of lent parts if the rest does not suffice. Returns the units
    /// that these parts are reserved for.
    fn borrow(
        &mut self,
        demand: &Resources,
    ) -> Vec<JobUnit> {
        let mut missing = demand.saturating_sub(&self.host.free_capacity);
        self.host.free_capacity = self.host.free_capacity.saturating_sub(demand);
        let mut lenders = Vec::new();
        for part in self.reserved.iter_mut().filter(|r| r.is_lent) {
            let idle = part.idle;
            part.idle = idle.saturating_sub(&missing);
            if part.idle != idle {
                lenders.push(part.unit);
            }
            missing = missing.saturating_sub(&idle);
        }
        lenders
    }
}

impl Scheduler {
    /// Returns the workers of a unit's members if it fits with the capacity that is reserved for units before
    /// it and lent, and takes that capacity. The units that may take it back come with them.
    pub(super) fn place_on_lent(
        &self,
        pending: &PendingUnit,
        req: &PlacementRequest<'_>,
        job: &StepJob,
        hosts: &mut [PassHost],
    ) -> Option<(Vec<UpstreamName>, Vec<JobUnit>)> {
        let mut reserved = hosts.iter().flat_map(|h| &h.reserved);
        if !reserved.any(|r| r.is_lent) {
            return None;
        }
        let eligible =
            self.eligible_hosts(hosts, job, req.step, pending.unit, PassHost::free_or_lent);
        let placed = self.placement_policy.place(req, &eligible)?;
        let mut lenders = Vec::new();
        for name in &placed {
            if let Some(host) = hosts.iter_mut().find(|h| h.host.upstream == *name) {
                lenders.extend(host.borrow(&req.step.demand));
            }
        }
        if !self.is_reclaimable(pending) {
            lenders.clear();
        }
        Some((placed, lenders))
    }

    /// Returns whether a unit that starts on reserved capacity may be stopped for it.
    fn is_reclaimable(
        &self,
        pending: &PendingUnit,
    ) -> bool {
        let job = self.jobs.get(&pending.job);
        let reclaims = job.and_then(|j| j.reclaims.get(&pending.unit));
        !pending.is_guaranteed && reclaims.is_none_or(|n| *n < MAX_RECLAIMS)
    }

    /// Stops units that run on the reserved capacity of a unit, if it fits without them. Returns
    /// `false`, and stops nothing, if it does not.
    pub(super) fn reclaim_reserved(
        &mut self,
        pending: &PendingUnit,
        req: &PlacementRequest<'_>,
        hosts_after_stops: &[Host],
        hosts: &mut [PassHost],
        now: Millis,
    ) -> bool {
        let borrowers = self.borrowers_from((pending.job, pending.unit), now);
        if borrowers.is_empty() {
            return false;
        }
        let choice = choose_victims(&*self.placement_policy, req, hosts_after_stops, &borrowers);
        let Some((victims, placed)) = choice else {
            return false;
        };
        tracing::info!(job = %pending.job, unit = %pending.unit, victims = victims.len(), "taking back reserved capacity");
        self.stop_victims(&victims, hosts);
        claim_capacity(hosts, &placed, req.step);
        true
    }

    /// Returns the units that run on the reserved capacity of a unit.
    fn borrowers_from(
        &self,
        lender: JobUnit,
        now: Millis,
    ) -> Vec<Victim> {
        let units = self.jobs.values().flat_map(|open| {
            let borrowers = open.active_units.iter();
            let borrowers = borrowers.filter(|(_, a)| !a.is_stopping);
            let borrowers = borrowers.filter(move |(_, a)| a.lenders.contains(&lender));
            borrowers.filter_map(move |(unit, a)| {
                let cost = lost_work(open.job.step_of(*unit)?, a, now);
                Some(self.victim(open.job.id, *unit, cost, VictimKind::Lent))
            })
        });
        units.collect()
    }

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
        let running = self.units_by_remaining_time((pending.job, pending.unit), now);
        let choice = choose_victims(&*self.placement_policy, req, hosts_after_stops, &running);
        let Some((awaited, placed)) = choice else {
            return false;
        };
        let unit = (pending.job, pending.unit);
        let reserved_since = self.reservations.get(&unit).copied().unwrap_or(now);
        let max_idle_time = if self.is_mostly_idle(pending.job, now) {
            MAX_IDLE_TIME
        } else {
            MAX_IDLE_TIME_WHEN_BUSY
        };
        let is_lent = now.since(reserved_since) >= max_idle_time;
        for name in &placed {
            if let Some(host) = hosts.iter_mut().find(|h| h.host.upstream == *name) {
                host.reserve(unit, &req.step.demand, is_lent);
            }
        }
        if !self.reservations.contains_key(&unit) {
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

    /// Returns whether less than half of each resource is in use on the workers of a job's service.
    fn is_mostly_idle(
        &self,
        job: StepJobId,
        now: Millis,
    ) -> bool {
        let service = self.jobs.get(&job).map(|j| j.job.service.clone());
        let upstreams = self.upstreams.values();
        let usable = upstreams.filter(|u| u.is_usable(now) && Some(&u.service) == service.as_ref());
        let (capacity, free) = usable.fold(
            (Resources::default(), Resources::default()),
            |(capacity, free), u| (capacity + u.capacity, free + u.free_capacity()),
        );
        let used = capacity.saturating_sub(&free);
        (used + used).fits_in(&capacity)
    }

    /// Records the units for which the pass has reserved workers.
    pub(super) fn record_reservations(
        &mut self,
        reserved: &[JobUnit],
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

    /// Returns the running units with the remaining accelerator time of each as its cost. Those that run on
    /// the reserved capacity of `lender` cost nothing.
    fn units_by_remaining_time(
        &self,
        lender: JobUnit,
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
                let cost = if a.lenders.contains(&lender) {
                    0
                } else {
                    remaining_ms * accelerators.max(1)
                };
                Some(self.victim(open.job.id, *unit, cost, VictimKind::LessUrgent))
            })
        });
        units.collect()
    }
}
