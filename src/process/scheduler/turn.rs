//! One turn: what can start is started in order, and what comes first gets room.

use {
    super::{Ask, Host, PlaceRequest, Scheduler, Victim, choose_victims},
    crate::{
        prelude::*,
        request::{JobPhase, Resources, RunRef, Step, StepJob, StepJobId, UnitId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How many units that find no room have workers kept for them in one turn. More would keep
/// workers idle for work that cannot start soon.
const MAX_RESERVATIONS: usize = 3;

/// The work that is lost whenever a run is stopped, in milliseconds: its stop and its next start.
/// A run that saves its progress does so at a stop too, so it loses no more than that.
const RESTART_LOSS_MS: u64 = 450;

/// The least time that a run is thought to have left, in milliseconds; declared times are far off.
const MIN_LEFT_MS: u64 = 300;

/// How long urgent work waits for room that becomes free by itself before other work is stopped for
/// it. It costs less than the latency that the most urgent queues allow for.
const PREEMPTION_PATIENCE: Duration = Duration::from_millis(300);

/// A worker in one turn.
#[derive(Clone, Debug)]
struct TurnHost {
    /// The worker with the room that is free now.
    host: Host,
    /// The room once what is being stopped is gone.
    soon: Resources,
    labels: Vec<Arc<str>>,
    service: Arc<str>,
}

impl Scheduler {
    /// Starts what can start, and stops what has to give way. Times are the process's and the
    /// time of day.
    pub fn turn(
        &mut self,
        now: Millis,
        wall: Millis,
    ) {
        self.drop_lapsed(now);
        let mut asks = self.asks(now, wall);
        asks.sort_by_key(Ask::order);
        let mut hosts = self.turn_hosts(now);
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
            let req = PlaceRequest {
                step,
                members: step.members(),
                waited: ask.waited,
                far_factor: self.far_factor,
            };
            let now_hosts = self.hosts_for(&hosts, &job, step, ask.unit, false);
            if let Some(placed) = self.rules.place(&req, &now_hosts) {
                self.log_start(&ask, &placed, now_hosts.len());
                take_room(&mut hosts, &placed, step);
                self.counts.waits.push((ask.priority, ask.waited));
                self.start_unit(ask.job, ask.unit, &placed, now);
                continue;
            }
            let soon_hosts = self.hosts_for(&hosts, &job, step, ask.unit, true);
            if let Some(placed) = self.rules.place(&req, &soon_hosts) {
                take_room(&mut hosts, &placed, step);
                continue;
            }
            let is_patient = ask.waited < PREEMPTION_PATIENCE;
            let may_preempt = (ask.is_guaranteed || ask.priority == 0) && !is_patient;
            if may_preempt && self.make_room(&ask, &req, &soon_hosts, &mut hosts, now) {
                continue;
            }
            blocked.insert(step_key);
            if reservations < MAX_RESERVATIONS && step.members() > 0 {
                reservations += 1;
                self.reserve(&req, &soon_hosts, &mut hosts, now);
            }
        }
    }

    fn log_start(
        &self,
        ask: &Ask,
        placed: &[UpstreamName],
        hosts: usize,
    ) {
        let oldest_ms = placed
            .iter()
            .filter_map(|n| self.upstreams.get(n))
            .map(|u| u.silent_ms);
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

    /// Returns the units whose turn has come, and notes since when they wait.
    fn asks(
        &mut self,
        now: Millis,
        wall: Millis,
    ) -> Vec<Ask> {
        let is_held = !self.unaccounted.is_empty() && now < self.hold_until;
        let term = self.term;
        let mut asks = Vec::new();
        for (id, open) in &mut self.jobs {
            let is_known = is_held && open.offset < term;
            if open.progress.phase.is_final() || is_known {
                continue;
            }
            for unit in ready_units(&open.job, &open.progress.done, wall) {
                if open.active.contains_key(&unit) || open.progress.done.contains(&unit) {
                    continue;
                }
                let Some(step) = open.job.step_of(unit) else {
                    continue;
                };
                let since = *open.ready_since.entry(unit).or_insert(now);
                asks.push(Ask {
                    job: *id,
                    unit,
                    priority: open.job.priority,
                    is_guaranteed: false,
                    due: open.job.window(unit.occurrence).1,
                    waited: now.since(since),
                    demand: step.demand.times(u64::from(step.members())),
                });
            }
        }
        self.mark_guaranteed(&mut asks);
        asks
    }

    /// Marks the urgent units that fit into what is left of their account's guarantee, those that
    /// are due first before the others.
    fn mark_guaranteed(
        &self,
        asks: &mut [Ask],
    ) {
        let Some(table) = &self.table else {
            return;
        };
        let mut left: BTreeMap<&AccountName, u64> = table
            .accounts
            .values()
            .map(|a| (&a.name, a.guaranteed))
            .collect();
        for open in self.jobs.values().filter(|j| j.job.priority == 0) {
            if let Some(left) = left.get_mut(&open.job.account) {
                let steps = open.active.keys().filter_map(|u| open.job.step_of(*u));
                let used: u64 = steps
                    .map(|s| s.demand.accelerators * u64::from(s.members()))
                    .sum();
                *left = left.saturating_sub(used);
            }
        }
        asks.sort_by_key(Ask::order);
        for ask in asks.iter_mut().filter(|a| a.priority == 0) {
            let account = self.jobs.get(&ask.job).map(|j| &j.job.account);
            if let Some(left) = account.and_then(|a| left.get_mut(a))
                && ask.demand.accelerators <= *left
            {
                *left -= ask.demand.accelerators;
                ask.is_guaranteed = true;
            }
        }
    }

    fn turn_hosts(
        &self,
        now: Millis,
    ) -> Vec<TurnHost> {
        let usable = self.upstreams.iter().filter(|(_, u)| u.is_usable(now));
        let hosts = usable.map(|(name, u)| {
            let staying = u.runs.values().filter(|r| !r.stopping).map(|r| r.demand);
            TurnHost {
                host: Host {
                    upstream: name.clone(),
                    rack: u.rack().cloned(),
                    room: u.room(),
                    capacity: u.capacity,
                    siblings: 0,
                },
                soon: u
                    .capacity
                    .less(&staying.fold(Resources::default(), |a, b| a + b)),
                labels: u.labels.clone(),
                service: u.service.clone(),
            }
        });
        hosts.collect()
    }

    /// Returns the hosts that may run a unit, with the room now or soon.
    fn hosts_for(
        &self,
        hosts: &[TurnHost],
        job: &StepJob,
        step: &Step,
        unit: UnitId,
        soon: bool,
    ) -> Vec<Host> {
        let fitting = hosts.iter().filter(|h| {
            let has_label = step.label.as_ref().is_none_or(|l| h.labels.contains(l));
            h.service == job.service && has_label && step.demand.fits_in(&h.host.capacity)
        });
        let fitting: Vec<&TurnHost> = fitting.collect();
        let hosts = self.untried_hosts(&fitting, job, step, unit);
        let hosts = hosts.into_iter().map(|h| Host {
            room: if soon { h.soon } else { h.host.room },
            siblings: self.siblings(&h.host.upstream, job.id, unit, step),
            ..h.host.clone()
        });
        hosts.collect()
    }

    /// Leaves out the workers on which the unit has failed, unless the others could never hold it.
    fn untried_hosts<'a>(
        &self,
        fitting: &[&'a TurnHost],
        job: &StepJob,
        step: &Step,
        unit: UnitId,
    ) -> Vec<&'a TurnHost> {
        let failed_on = self.jobs.get(&job.id).and_then(|j| j.failed_on.get(&unit));
        let Some(failed_on) = failed_on else {
            return fitting.to_vec();
        };
        let untried = fitting.iter().copied();
        let untried = untried.filter(|h| !failed_on.contains(&h.host.upstream));
        let untried: Vec<&TurnHost> = untried.collect();
        let empty = untried.iter().map(|h| Host {
            room: h.host.capacity,
            ..h.host.clone()
        });
        let req = PlaceRequest {
            step,
            members: step.members(),
            waited: Duration::MAX,
            far_factor: self.far_factor,
        };
        match self.rules.place(&req, &empty.collect::<Vec<_>>()) {
            Some(_) => untried,
            None => fitting.to_vec(),
        }
    }

    /// Counts the runs of the same step and occurrence on a worker, where that matters.
    fn siblings(
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

    /// Stops less urgent work so that an urgent unit can start; `false` when that is not enough.
    fn make_room(
        &mut self,
        ask: &Ask,
        req: &PlaceRequest<'_>,
        soon_hosts: &[Host],
        hosts: &mut [TurnHost],
        now: Millis,
    ) -> bool {
        let lower = self.victims(now, |priority| priority > ask.priority);
        let choice = choose_victims(&*self.rules, req, soon_hosts, &lower);
        let Some((victims, placed)) = choice else {
            return false;
        };
        tracing::info!(job = %ask.job, unit = %ask.unit, victims = victims.len(), guaranteed = ask.is_guaranteed, "less urgent work gives way");
        for victim in &victims {
            self.counts.count("preempted");
            for host in hosts.iter_mut() {
                if let Some(freed) = victim.frees.get(&host.host.upstream) {
                    host.soon += *freed;
                }
            }
            self.stop_unit(
                victim.unit.0,
                victim.unit.1,
                "more urgent work needs its place",
            );
        }
        take_room(hosts, &placed, req.step);
        true
    }

    /// Keeps the workers that will be free first for a unit that finds no room.
    fn reserve(
        &self,
        req: &PlaceRequest<'_>,
        soon_hosts: &[Host],
        hosts: &mut [TurnHost],
        now: Millis,
    ) {
        let running = self.running_by_end(now);
        if let Some((_, placed)) = choose_victims(&*self.rules, req, soon_hosts, &running) {
            take_room(hosts, &placed, req.step);
        }
    }

    /// Returns the running units that may be stopped, with the work that would be lost.
    fn victims<F>(
        &self,
        now: Millis,
        may_stop: F,
    ) -> Vec<Victim>
    where
        F: Fn(u32) -> bool,
    {
        let jobs = self.jobs.values().filter(|j| may_stop(j.job.priority));
        let units = jobs.flat_map(|open| {
            let active = open.active.iter().filter(|(_, a)| !a.stopping);
            active.filter_map(move |(unit, a)| {
                let step = open.job.step_of(*unit)?;
                let age_ms = Millis::from(now.since(a.since)).0;
                let unsaved_ms = if step.checkpoints { 0 } else { age_ms } + RESTART_LOSS_MS;
                let weight = step.demand.weight() * u64::from(step.members());
                Some(self.victim(open.job.id, *unit, weight * unsaved_ms / 1000))
            })
        });
        units.collect()
    }

    /// Returns the running units with the time until they end in place of a loss.
    fn running_by_end(
        &self,
        now: Millis,
    ) -> Vec<Victim> {
        let open = self
            .jobs
            .values()
            .filter(|j| j.progress.phase != JobPhase::Queued);
        let units = open.flat_map(|open| {
            open.active.iter().filter_map(move |(unit, a)| {
                let step = open.job.step_of(*unit)?;
                let age_ms = Millis::from(now.since(a.since)).0;
                let left_ms = step.estimate_ms.saturating_sub(age_ms).max(MIN_LEFT_MS);
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
        let active = self.jobs.get(&id).and_then(|j| j.active.get(&unit));
        let demand = self.demand_of(id, unit).unwrap_or_default();
        for name in active.into_iter().flat_map(|a| a.members.values()) {
            *frees.entry(name.clone()).or_default() += demand;
        }
        Victim {
            unit: (id, unit),
            loss,
            frees,
        }
    }
}

/// Returns the units whose steps have all steps before them done and whose time has come.
fn ready_units(
    job: &StepJob,
    done: &BTreeSet<UnitId>,
    wall: Millis,
) -> Vec<UnitId> {
    let mut ready = Vec::new();
    for occurrence in 0..job.occurrences() {
        if job.recurrence.is_some_and(|r| r.due(occurrence) > wall) {
            break;
        }
        let is_done = |step: &u16| job.units(occurrence, *step).all(|u| done.contains(&u));
        for (index, step) in job.steps.iter().enumerate() {
            if step.after.iter().all(is_done) {
                ready.extend(job.units(occurrence, index as u16));
            }
        }
    }
    ready
}

/// Takes the room of placed members.
fn take_room(
    hosts: &mut [TurnHost],
    placed: &[UpstreamName],
    step: &Step,
) {
    for name in placed {
        if let Some(host) = hosts.iter_mut().find(|h| h.host.upstream == *name) {
            host.host.room = host.host.room.less(&step.demand);
            host.soon = host.soon.less(&step.demand);
        }
    }
}
