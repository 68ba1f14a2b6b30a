//! One scheduling pass: starts pending units in order and frees capacity for urgent ones.

use {
    super::{
        Host, JobUnit, PendingUnit, PlacementRequest, Scheduler, pass_reservation::ReservedCapacity,
    },
    crate::{
        prelude::*,
        request::{Resources, RunRef, Step, StepJob, StepJobId, UnitId},
    },
    std::collections::BTreeSet,
};

/// The maximum number of units for which one pass reserves workers because they do not fit.
const MAX_RESERVATIONS: usize = 3;

/// How long urgent work waits for running work to end by itself before it preempts other work. It
/// is shorter than the latency that the most urgent queues allow.
const PREEMPTION_DELAY: Duration = Duration::from_millis(300);

/// A worker in one scheduling pass, less what the pass has placed or reserved there.
#[derive(Clone, Debug)]
pub(super) struct PassHost {
    /// The worker with its capacity that is free now.
    pub(super) host: Host,
    /// The free capacity once the runs that are being stopped have ended.
    pub(super) free_after_stops: Resources,
    /// The parts of its free capacity that the pass has reserved.
    pub(super) reserved: Vec<ReservedCapacity>,
    labels: Vec<Arc<str>>,
    service: Arc<str>,
}

impl PassHost {
    /// Returns the capacity that is free now and not reserved.
    pub(super) fn free_now(&self) -> Resources {
        self.host.free_capacity
    }

    /// Returns the capacity that is free once the runs that are being stopped have ended.
    pub(super) fn free_after_stops(&self) -> Resources {
        self.free_after_stops
    }
}

impl Scheduler {
    /// Runs one scheduling pass: starts units that fit, preempts less urgent work, and reserves
    /// workers for units that wait. Does none of it without the leader's lease, nor while the evacuated
    /// data centres are not known. `now` is by the process's clock, `wall` is the time of day.
    pub fn run_pass(
        &mut self,
        now: Millis,
        wall: Millis,
    ) {
        self.drop_expired_runs(now);
        self.log_end_of_wait(now);
        if !self.check_lease(now) {
            return;
        }
        self.withdraw_unsent_starts();
        self.evacuate_leaving_workers(now);
        if !self.knows_evacuations {
            return;
        }
        let mut pending_units = self.pending_units(now, wall);
        pending_units.sort_by_key(PendingUnit::order_key);
        let mut hosts = self.pass_hosts(now);
        let mut blocked: BTreeSet<(StepJobId, u32, u16)> = BTreeSet::new();
        let mut reserved = Vec::new();
        let mut reservation_attempts = 0;
        for pending in pending_units {
            let step_key = (pending.job, pending.unit.occurrence, pending.unit.step);
            if blocked.contains(&step_key) {
                continue;
            }
            let Some(job) = self.jobs.get(&pending.job).map(|j| j.job.clone()) else {
                continue;
            };
            let Some(step) = job.step_of(pending.unit) else {
                continue;
            };
            let req = PlacementRequest {
                step,
                members: step.members_per_unit(),
                waited: pending.waited,
                remote_factor: self.remote_factor,
                max_rack_wait: self.max_rack_wait(&pending),
            };
            let free_hosts =
                self.eligible_hosts(&hosts, &job, step, pending.unit, PassHost::free_now);
            if let Some(placed) = self.placement_policy.place(&req, &free_hosts) {
                claim_capacity(&mut hosts, &placed, step);
                self.start_pending(&pending, &placed, free_hosts.len(), Vec::new(), now);
                continue;
            }
            let hosts_after_stops =
                self.eligible_hosts(&hosts, &job, step, pending.unit, PassHost::free_after_stops);
            if let Some(placed) = self.placement_policy.place(&req, &hosts_after_stops) {
                claim_capacity(&mut hosts, &placed, step);
                continue;
            }
            let on_lent = self.place_on_lent(&pending, &req, &job, &mut hosts);
            if let Some((placed, lenders)) = on_lent {
                self.start_pending(&pending, &placed, hosts.len(), lenders, now);
                continue;
            }
            let must_wait = pending.waited < PREEMPTION_DELAY;
            let may_preempt = (pending.is_guaranteed || pending.priority == 0) && !must_wait;
            if may_preempt && self.preempt_for(&pending, &req, &hosts_after_stops, &mut hosts, now)
            {
                continue;
            }
            if self.reclaim_reserved(&pending, &req, &hosts_after_stops, &mut hosts, now) {
                continue;
            }
            blocked.insert(step_key);
            if reservation_attempts < MAX_RESERVATIONS && step.members_per_unit() > 0 {
                reservation_attempts += 1;
                if self.reserve_capacity(&pending, &req, &hosts_after_stops, &mut hosts, now) {
                    reserved.push((pending.job, pending.unit));
                }
            }
        }
        self.record_reservations(&reserved, now);
    }

    /// Starts a pending unit on the workers of its members.
    fn start_pending(
        &mut self,
        pending: &PendingUnit,
        placed: &[UpstreamName],
        hosts: usize,
        lenders: Vec<JobUnit>,
        now: Millis,
    ) {
        self.log_placement(pending, placed, hosts, !lenders.is_empty());
        let wait = (pending.priority, pending.waited);
        self.counts.placement_waits.push(wait);
        self.start_unit(pending.job, pending.unit, placed, lenders, now);
    }

    /// Returns how long a unit may wait for a rack: for a part of the time within which its start is
    /// promised if its account's guarantee covers it. An account without a guarantee has no such promise,
    /// also for units without accelerators.
    fn max_rack_wait(
        &self,
        pending: &PendingUnit,
    ) -> Option<Duration> {
        let account = &self.jobs.get(&pending.job)?.job.account;
        let account = self.queue_table.as_ref()?.accounts.get(account)?;
        let is_promised = pending.is_guaranteed && account.guaranteed_accelerators > 0;
        is_promised.then_some(self.reclaim_time / 2)
    }

    fn log_placement(
        &self,
        pending: &PendingUnit,
        placed: &[UpstreamName],
        hosts: usize,
        is_lent: bool,
    ) {
        let oldest_ms = placed
            .iter()
            .filter_map(|n| self.upstreams.get(n))
            .map(|u| u.unresponsive_ms);
        let job = self.jobs.get(&pending.job);
        let previous_run = job.and_then(|j| j.highest_run.get(&pending.unit));
        tracing::info!(
            job = %pending.job,
            unit = %pending.unit,
            priority = pending.priority,
            guaranteed = pending.is_guaranteed,
            waited_ms = pending.waited.as_millis() as u64,
            upstreams = ?placed.iter().map(UpstreamName::as_str).collect::<Vec<_>>(),
            hosts,
            is_lent,
            view_age_ms = oldest_ms.max(),
            term = self.term,
            previous_run,
            unreported_guards = self.unreported_guards.len(),
            "unit placed",
        );
    }

    fn pass_hosts(
        &self,
        now: Millis,
    ) -> Vec<PassHost> {
        let upstreams = self.upstreams.iter();
        let usable = upstreams.filter(|(_, u)| u.is_usable(now) && !self.is_evacuated(u));
        let hosts = usable.map(|(name, u)| {
            let staying = u.runs.values().filter(|r| !r.is_stopping).map(|r| r.demand);
            PassHost {
                host: Host {
                    upstream: name.clone(),
                    rack: u.rack().cloned(),
                    free_capacity: u.free_capacity(),
                    capacity: u.capacity,
                    sibling_runs: 0,
                },
                free_after_stops: u
                    .capacity
                    .saturating_sub(&staying.fold(Resources::default(), |a, b| a + b)),
                reserved: Vec::new(),
                labels: u.labels.clone(),
                service: u.service.clone(),
            }
        });
        hosts.collect()
    }

    /// Returns the hosts that may run a unit, each with the free capacity that `free_capacity` returns.
    pub(super) fn eligible_hosts<F>(
        &self,
        hosts: &[PassHost],
        job: &StepJob,
        step: &Step,
        unit: UnitId,
        free_capacity: F,
    ) -> Vec<Host>
    where
        F: Fn(&PassHost) -> Resources,
    {
        let fitting = hosts.iter().filter(|h| {
            let has_label = step.label.as_ref().is_none_or(|l| h.labels.contains(l));
            h.service == job.service && has_label && step.demand.fits_in(&h.host.capacity)
        });
        let fitting: Vec<&PassHost> = fitting.collect();
        let hosts = self.untried_hosts(&fitting, job, step, unit);
        let hosts = hosts.into_iter().map(|h| Host {
            free_capacity: free_capacity(h),
            sibling_runs: self.count_sibling_runs(&h.host.upstream, job.id, unit, step),
            ..h.host.clone()
        });
        hosts.collect()
    }

    /// Leaves out the workers on which the unit has failed, unless the unit does not fit on the
    /// others even when they are empty.
    fn untried_hosts<'a>(
        &self,
        fitting: &[&'a PassHost],
        job: &StepJob,
        step: &Step,
        unit: UnitId,
    ) -> Vec<&'a PassHost> {
        let failed_on = self.jobs.get(&job.id).and_then(|j| j.failed_on.get(&unit));
        let Some(failed_on) = failed_on else {
            return fitting.to_vec();
        };
        let untried = fitting.iter().copied();
        let untried = untried.filter(|h| !failed_on.contains(&h.host.upstream));
        let untried: Vec<&PassHost> = untried.collect();
        let empty = untried.iter().map(|h| Host {
            free_capacity: h.host.capacity,
            ..h.host.clone()
        });
        let req = PlacementRequest {
            step,
            members: step.members_per_unit(),
            waited: Duration::MAX,
            remote_factor: self.remote_factor,
            max_rack_wait: None,
        };
        match self
            .placement_policy
            .place(&req, &empty.collect::<Vec<_>>())
        {
            Some(_) => untried,
            None => fitting.to_vec(),
        }
    }

    /// Counts the runs of the same step and occurrence on a worker; 0 when the step has no limit
    /// per worker.
    fn count_sibling_runs(
        &self,
        name: &UpstreamName,
        id: StepJobId,
        unit: UnitId,
        step: &Step,
    ) -> u32 {
        if step.max_per_upstream == 0 {
            return 0;
        }
        let runs = self.upstreams.get(name).map(|u| u.runs.keys());
        let is_sibling = |run: &&RunRef| {
            let s = run.subtask;
            s.job == id && s.occurrence == unit.occurrence && s.step == unit.step
        };
        runs.map_or(0, |r| r.filter(is_sibling).count() as u32)
    }
}

/// Subtracts the demand of placed members from the free capacity of their hosts.
pub(super) fn claim_capacity(
    hosts: &mut [PassHost],
    placed: &[UpstreamName],
    step: &Step,
) {
    for name in placed {
        if let Some(host) = hosts.iter_mut().find(|h| h.host.upstream == *name) {
            host.host.free_capacity = host.host.free_capacity.saturating_sub(&step.demand);
            host.free_after_stops = host.free_after_stops.saturating_sub(&step.demand);
        }
    }
}
