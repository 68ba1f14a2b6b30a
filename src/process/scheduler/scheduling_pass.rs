//! One turn: what can start is started in order, and what comes first gets room.

use {
    super::{Host, PendingUnit, PlacementRequest, Scheduler},
    crate::{
        prelude::*,
        request::{Resources, RunRef, Step, StepJob, StepJobId, UnitId},
    },
    std::collections::BTreeSet,
};

/// How many units that find no room have workers kept for them in one turn. More would keep
/// workers idle for work that cannot start soon.
const MAX_RESERVATIONS: usize = 3;

/// How long urgent work waits for room that becomes free by itself before other work is stopped for
/// it. It costs less than the latency that the most urgent queues allow for.
const PREEMPTION_DELAY: Duration = Duration::from_millis(300);

/// A worker in one turn.
#[derive(Clone, Debug)]
pub(super) struct PassHost {
    /// The worker with the room that is free now.
    pub(super) host: Host,
    /// The room once what is being stopped is gone.
    pub(super) free_after_stops: Resources,
    labels: Vec<Arc<str>>,
    service: Arc<str>,
}

impl Scheduler {
    /// Starts what can start, and stops what has to give way. Times are the process's and the
    /// time of day.
    pub fn run_pass(
        &mut self,
        now: Millis,
        wall: Millis,
    ) {
        self.drop_expired_runs(now);
        let mut asks = self.pending_units(now, wall);
        asks.sort_by_key(PendingUnit::order_key);
        let mut hosts = self.pass_hosts(now);
        let mut blocked: BTreeSet<(StepJobId, u32, u16)> = BTreeSet::new();
        let mut reservations = 0;
        for ask in asks {
            let step_key = (ask.job, ask.unit.occurrence, ask.unit.step);
            if blocked.contains(&step_key) {
                continue;
            }
            let Some(job) = self.jobs.get(&ask.job).map(|j| j.job.clone()) else {
                continue;
            };
            let Some(step) = job.step_of(ask.unit) else {
                continue;
            };
            let req = PlacementRequest {
                step,
                members: step.members(),
                waited: ask.waited,
                remote_factor: self.remote_factor,
            };
            let now_hosts = self.eligible_hosts(&hosts, &job, step, ask.unit, false);
            if let Some(placed) = self.placement_policy.place(&req, &now_hosts) {
                self.log_placement(&ask, &placed, now_hosts.len());
                claim_capacity(&mut hosts, &placed, step);
                self.counts.placement_waits.push((ask.priority, ask.waited));
                self.start_unit(ask.job, ask.unit, &placed, now);
                continue;
            }
            let soon_hosts = self.eligible_hosts(&hosts, &job, step, ask.unit, true);
            if let Some(placed) = self.placement_policy.place(&req, &soon_hosts) {
                claim_capacity(&mut hosts, &placed, step);
                continue;
            }
            let is_patient = ask.waited < PREEMPTION_DELAY;
            let may_preempt = (ask.is_guaranteed || ask.priority == 0) && !is_patient;
            if may_preempt && self.preempt_for(&ask, &req, &soon_hosts, &mut hosts, now) {
                continue;
            }
            blocked.insert(step_key);
            if reservations < MAX_RESERVATIONS && step.members() > 0 {
                reservations += 1;
                self.reserve_capacity(&req, &soon_hosts, &mut hosts, now);
            }
        }
    }

    fn log_placement(
        &self,
        ask: &PendingUnit,
        placed: &[UpstreamName],
        hosts: usize,
    ) {
        let oldest_ms = placed
            .iter()
            .filter_map(|n| self.upstreams.get(n))
            .map(|u| u.unresponsive_ms);
        tracing::info!(
            job = %ask.job,
            unit = %ask.unit,
            priority = ask.priority,
            guaranteed = ask.is_guaranteed,
            waited_ms = ask.waited.as_millis() as u64,
            upstreams = ?placed.iter().map(UpstreamName::as_str).collect::<Vec<_>>(),
            hosts,
            view_age_ms = oldest_ms.max(),
            "unit placed",
        );
    }

    fn pass_hosts(
        &self,
        now: Millis,
    ) -> Vec<PassHost> {
        let usable = self.upstreams.iter().filter(|(_, u)| u.is_usable(now));
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
                    .less(&staying.fold(Resources::default(), |a, b| a + b)),
                labels: u.labels.clone(),
                service: u.service.clone(),
            }
        });
        hosts.collect()
    }

    /// Returns the hosts that may run a unit, with the room now or soon.
    fn eligible_hosts(
        &self,
        hosts: &[PassHost],
        job: &StepJob,
        step: &Step,
        unit: UnitId,
        soon: bool,
    ) -> Vec<Host> {
        let fitting = hosts.iter().filter(|h| {
            let has_label = step.label.as_ref().is_none_or(|l| h.labels.contains(l));
            h.service == job.service && has_label && step.demand.fits_in(&h.host.capacity)
        });
        let fitting: Vec<&PassHost> = fitting.collect();
        let hosts = self.untried_hosts(&fitting, job, step, unit);
        let hosts = hosts.into_iter().map(|h| Host {
            free_capacity: if soon {
                h.free_after_stops
            } else {
                h.host.free_capacity
            },
            sibling_runs: self.count_sibling_runs(&h.host.upstream, job.id, unit, step),
            ..h.host.clone()
        });
        hosts.collect()
    }

    /// Leaves out the workers on which the unit has failed, unless the others could never hold it.
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
            members: step.members(),
            waited: Duration::MAX,
            remote_factor: self.remote_factor,
        };
        match self
            .placement_policy
            .place(&req, &empty.collect::<Vec<_>>())
        {
            Some(_) => untried,
            None => fitting.to_vec(),
        }
    }

    /// Counts the runs of the same step and occurrence on a worker, where that matters.
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

/// Takes the room of placed members.
pub(super) fn claim_capacity(
    hosts: &mut [PassHost],
    placed: &[UpstreamName],
    step: &Step,
) {
    for name in placed {
        if let Some(host) = hosts.iter_mut().find(|h| h.host.upstream == *name) {
            host.host.free_capacity = host.host.free_capacity.less(&step.demand);
            host.free_after_stops = host.free_after_stops.less(&step.demand);
        }
    }
}
