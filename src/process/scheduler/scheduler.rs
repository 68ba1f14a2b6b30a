//! The scheduler's state, as plain data.

use {
    super::{
        ActiveUnit, LeaseTerms, OpenJob, Orders, PlaceRules, PlacedRun, SchedulerCounts,
        UpstreamState,
    },
    crate::{
        connection::{GuardOrders, RunPhase, RunStart},
        prelude::*,
        process::ledger::JobView,
        request::{JobPhase, JobProgress, ProgressStamp, RunRef, StepJobId, SubtaskId, UnitId},
        version::QueueTable,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// By how many bits a term is shifted in tokens and run numbers, which leaves room for the
/// sessions and starts of one term.
pub(super) const TERM_SHIFT: u32 = 16;

/// All that the scheduling entry knows and has ordered.
pub struct Scheduler {
    /// The fencing term.
    pub term: u64,
    /// The leases.
    pub leases: LeaseTerms,
    /// How many times as long work takes far from its data.
    pub far_factor: u64,
    /// The queues in force.
    pub table: Option<Rc<QueueTable>>,
    /// The jobs.
    pub jobs: BTreeMap<StepJobId, OpenJob>,
    /// The workers, by guard.
    pub upstreams: BTreeMap<UpstreamName, UpstreamState>,
    /// What has happened, for metrics.
    pub counts: SchedulerCounts,
    pub(super) rules: Box<dyn PlaceRules>,
    pub(super) orders: BTreeMap<UpstreamName, Orders>,
    pub(super) sent: BTreeMap<UpstreamName, u64>,
    pub(super) changes: u64,
    /// Guards known at the takeover that have not reported; what they run is not known.
    pub(super) unaccounted: BTreeSet<UpstreamName>,
    /// When everything that unaccounted guards may run has surely ended.
    pub(super) hold_until: Millis,
}

impl Scheduler {
    /// Creates the scheduler of a term. Until all of `guards` have reported or their workers'
    /// leases have surely ended, only jobs that no earlier scheduler can have started are started.
    pub fn new(
        term: u64,
        leases: LeaseTerms,
        far_factor: u64,
        rules: Box<dyn PlaceRules>,
        guards: BTreeSet<UpstreamName>,
        now: Millis,
    ) -> Self {
        Self {
            term,
            leases,
            far_factor,
            table: None,
            jobs: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            counts: SchedulerCounts::default(),
            rules,
            orders: BTreeMap::new(),
            sent: BTreeMap::new(),
            changes: 0,
            unaccounted: guards,
            hold_until: now + leases.horizon(),
        }
    }

    /// Takes a job as the ledger has it: a new one, or one that was cancelled.
    pub fn take_job(
        &mut self,
        view: &JobView,
    ) {
        let id = view.job.id;
        let is_final = view.progress.phase.is_final();
        if !is_final && !self.jobs.contains_key(&id) {
            self.jobs.insert(id, OpenJob::new(view));
            self.touch(id);
        }
        let term = self.term;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_final_read = is_final;
            job.is_announced |= view.progress.stamp.term == term;
        }
        if view.is_cancelled {
            self.end_job(id, JobPhase::Cancelled);
        }
        self.forget_if_over(id);
    }

    /// Notes that a session with a guard is open.
    pub fn open_session(
        &mut self,
        name: &UpstreamName,
    ) {
        self.sent.insert(name.clone(), 0);
        self.orders.remove(name);
        let upstream = self.upstreams.entry(name.clone()).or_default();
        upstream.connected = true;
        upstream.in_session = false;
        // Orders that were on their way are void, so stops have to be ordered again.
        for placed in upstream.runs.values_mut() {
            placed.stopping = false;
        }
    }

    /// Notes that the session with a guard is over.
    pub fn close_session(
        &mut self,
        name: &UpstreamName,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.connected = false;
        }
    }

    /// Takes the guards that have been silent for so long that all leases there have ended, and
    /// places nothing there until they have registered again. What they ran is accounted for, so a
    /// scheduler that takes over need not wait for them.
    pub fn take_lapsed_guards(
        &mut self,
        now: Millis,
    ) -> Vec<UpstreamName> {
        let horizon = self.leases.horizon();
        if self.hold_until < now {
            for name in &self.unaccounted {
                self.upstreams.entry(name.clone()).or_default();
            }
        }
        let hold_until = self.hold_until;
        let silent = self.upstreams.iter_mut().filter(|(_, u)| {
            let lapsed = u.heard.map_or(hold_until, |at| at + horizon);
            !u.is_dropped && !u.connected && lapsed < now
        });
        let dropped = silent.map(|(name, u)| {
            u.is_dropped = true;
            name.clone()
        });
        dropped.collect()
    }

    /// Forgets a guard that is no longer registered: its worker has ended, or all leases there have.
    pub fn forget_guard(
        &mut self,
        name: &UpstreamName,
        now: Millis,
    ) {
        self.lose_worker(name, now, "its guard is no longer registered");
        self.unaccounted.remove(name);
        self.upstreams.remove(name);
        self.orders.remove(name);
        self.sent.remove(name);
    }

    /// Tells whether a guard has orders to be sent.
    pub fn has_orders(
        &self,
        name: &UpstreamName,
    ) -> bool {
        let orders = self.orders.get(name);
        orders.is_some_and(|o| !o.starts.is_empty() || !o.stops.is_empty())
    }

    /// Builds the next message of a session.
    pub fn next_message(
        &mut self,
        name: &UpstreamName,
        token: u64,
    ) -> GuardOrders {
        let orders = self.orders.remove(name).unwrap_or_default();
        let sent = self.sent.entry(name.clone()).or_default();
        *sent += 1;
        let upstream = self.upstreams.get(name);
        GuardOrders {
            token,
            number: *sent,
            echo_ms: upstream.map_or(0, |u| u.echo_ms),
            guard_lease_ms: self.leases.guard.0,
            worker_lease_ms: self.leases.worker.0,
            worker: upstream.and_then(|u| u.life.clone()),
            starts: orders.starts,
            stops: orders.stops,
            noted_end: upstream.map_or(0, |u| u.noted_end),
        }
    }

    /// Returns up to `limit` jobs whose progress has to be recorded, with the number of the change
    /// that the record holds.
    pub fn unrecorded(
        &mut self,
        limit: usize,
    ) -> Vec<(StepJobId, u64, JobProgress)> {
        let term = self.term;
        let open = self.jobs.iter_mut().filter(|(_, j)| j.changed > j.recorded);
        let taken = open.take(limit).map(|(id, job)| {
            job.progress.stamp = ProgressStamp {
                term,
                number: job.changed,
            };
            (*id, job.changed, job.progress.clone())
        });
        taken.collect()
    }

    /// Notes that a job's progress is recorded up to a change.
    pub fn note_recorded(
        &mut self,
        id: StepJobId,
        change: u64,
    ) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.recorded = job.recorded.max(change);
            job.is_announced = true;
        }
        self.forget_if_over(id);
    }

    /// Lets workers forget the ends whose jobs are recorded. Returns the guards to be told.
    pub fn advance_noted_ends(&mut self) -> Vec<UpstreamName> {
        let mut told = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            let before = upstream.noted_end;
            while let Some(first) = upstream.unrecorded.first_entry() {
                let is_recorded = first.get().is_none_or(|(id, change)| {
                    self.jobs.get(&id).is_none_or(|j| j.recorded >= change)
                });
                if !is_recorded {
                    break;
                }
                upstream.noted_end = upstream.noted_end.max(*first.key());
                first.remove();
            }
            if upstream.noted_end != before {
                told.push(name.clone());
            }
        }
        told
    }

    /// Notes a change of a job's progress.
    pub(super) fn touch(
        &mut self,
        id: StepJobId,
    ) {
        self.changes += 1;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.changed = self.changes;
        }
    }

    /// Ends a job in a phase and stops what runs of it. A job that has ended stays as it is.
    pub(super) fn end_job(
        &mut self,
        id: StepJobId,
        phase: JobPhase,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.progress.phase.is_final() {
            return;
        }
        job.progress.phase = phase;
        // The other members of a gang that is done end by themselves.
        let running = job.active.keys().filter(|u| !job.progress.done.contains(u));
        let active: Vec<UnitId> = running.copied().collect();
        tracing::info!(job = %id, ?phase, running = active.len(), "job ended");
        for unit in active {
            self.stop_unit(id, unit, "its job has ended");
        }
        self.touch(id);
    }

    /// Orders all members of a unit to stop.
    pub(super) fn stop_unit(
        &mut self,
        id: StepJobId,
        unit: UnitId,
        why: &str,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(active) = job.active.get_mut(&unit) else {
            return;
        };
        active.stopping = true;
        let run = active.run;
        let members = active.members.clone();
        tracing::info!(job = %id, %unit, run, members = members.len(), why, "unit is stopped");
        for (index, name) in members {
            let subtask = SubtaskId {
                job: id,
                occurrence: unit.occurrence,
                step: unit.step,
                index,
            };
            self.stop_run(&name, RunRef { subtask, run });
        }
    }

    /// Orders one run to stop. A start that was not sent yet is taken back.
    pub(super) fn stop_run(
        &mut self,
        name: &UpstreamName,
        run: RunRef,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        let Some(placed) = upstream.runs.get_mut(&run) else {
            return;
        };
        if placed.stopping {
            return;
        }
        placed.stopping = true;
        self.orders.entry(name.clone()).or_default().stops.push(run);
    }

    /// Orders a unit to start on the workers of its members.
    pub(super) fn start_unit(
        &mut self,
        id: StepJobId,
        unit: UnitId,
        hosts: &[UpstreamName],
        now: Millis,
    ) {
        let term = self.term;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(step) = job.job.step_of(unit).cloned() else {
            return;
        };
        let last_run = job.last_run.entry(unit).or_default();
        *last_run = (*last_run).max(term << TERM_SHIFT) + 1;
        let run = *last_run;
        let checkpoint = job.progress.checkpoints.get(&unit).cloned();
        job.ready_since.remove(&unit);
        let mut members = BTreeMap::new();
        for (subtask, name) in job.job.members(unit).into_iter().zip(hosts) {
            members.insert(subtask.index, name.clone());
            let run = RunRef { subtask, run };
            let placed = PlacedRun {
                unit: Some((id, unit)),
                demand: step.demand,
                phase: RunPhase::Starting,
                checkpoint: checkpoint.clone(),
                percent: 0,
                ordered_by: self.sent.get(name).copied().unwrap_or_default() + 1,
                since: now,
                stopping: false,
            };
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.runs.insert(run, placed);
            }
            let start = RunStart {
                run,
                payload: job.job.payload.clone(),
                checkpoint: checkpoint.clone(),
            };
            self.orders
                .entry(name.clone())
                .or_default()
                .starts
                .push(start);
        }
        job.active.insert(
            unit,
            ActiveUnit {
                run,
                members,
                since: now,
                stopping: false,
            },
        );
        if job.progress.phase == JobPhase::Queued {
            job.progress.phase = JobPhase::Running;
            self.touch(id);
        }
    }
}
