//! The scheduler's state, as plain data.

use {
    super::{
        ActiveUnit, LeaseTerms, OpenJob, PendingOrders, PlacedRun, SchedulerCounts,
        UnitPlacementPolicy, UpstreamState,
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
pub(super) const TERM_SHIFT_BITS: u32 = 16;

/// All that the scheduling entry knows and has ordered.
pub struct Scheduler {
    /// The fencing term.
    pub term: u64,
    /// The leases.
    pub leases: LeaseTerms,
    /// How many times as long work takes far from its data.
    pub remote_factor: u64,
    /// The queues in force.
    pub queue_table: Option<Rc<QueueTable>>,
    /// The jobs.
    pub jobs: BTreeMap<StepJobId, OpenJob>,
    /// The workers, by guard.
    pub upstreams: BTreeMap<UpstreamName, UpstreamState>,
    /// What has happened, for metrics.
    pub counts: SchedulerCounts,
    pub(super) placement_policy: Box<dyn UnitPlacementPolicy>,
    pub(super) pending_orders: BTreeMap<UpstreamName, PendingOrders>,
    pub(super) messages_sent: BTreeMap<UpstreamName, u64>,
    pub(super) change_count: u64,
    /// Guards known at the takeover that have not reported; what they run is not known.
    pub(super) unreported_guards: BTreeSet<UpstreamName>,
    /// When everything that unaccounted guards may run has surely ended.
    pub(super) hold_starts_until: Millis,
}

impl Scheduler {
    /// Creates the scheduler of a term. Until all of `guards` have reported or their workers'
    /// leases have surely ended, only jobs that no earlier scheduler can have started are started.
    pub fn new(
        term: u64,
        leases: LeaseTerms,
        far_factor: u64,
        rules: Box<dyn UnitPlacementPolicy>,
        guards: BTreeSet<UpstreamName>,
        now: Millis,
    ) -> Self {
        Self {
            term,
            leases,
            remote_factor: far_factor,
            queue_table: None,
            jobs: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            counts: SchedulerCounts::default(),
            placement_policy: rules,
            pending_orders: BTreeMap::new(),
            messages_sent: BTreeMap::new(),
            change_count: 0,
            unreported_guards: guards,
            hold_starts_until: now + leases.expiry_delay(),
        }
    }

    /// Takes a job as the ledger has it: a new one, or one that was cancelled.
    pub fn apply_job(
        &mut self,
        view: &JobView,
    ) {
        let id = view.job.id;
        let is_final = view.progress.phase.is_final();
        if !is_final && !self.jobs.contains_key(&id) {
            self.jobs.insert(id, OpenJob::new(view));
            self.mark_changed(id);
        }
        let term = self.term;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_end_read_back = is_final;
            job.has_term_record |= view.progress.stamp.term == term;
        }
        if view.cancelled {
            self.end_job(id, JobPhase::Cancelled);
        }
        self.drop_if_ended(id);
    }

    /// Notes that a session with a guard is open.
    pub fn open_session(
        &mut self,
        name: &UpstreamName,
    ) {
        self.messages_sent.insert(name.clone(), 0);
        self.pending_orders.remove(name);
        let upstream = self.upstreams.entry(name.clone()).or_default();
        upstream.is_connected = true;
        upstream.has_session_report = false;
        // Orders that were on their way are void, so stops have to be ordered again.
        for placed in upstream.runs.values_mut() {
            placed.is_stopping = false;
        }
    }

    /// Notes that the session with a guard is over.
    pub fn close_session(
        &mut self,
        name: &UpstreamName,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.is_connected = false;
        }
    }

    /// Takes the guards that have been silent for so long that all leases there have ended, and
    /// places nothing there until they have registered again. What they ran is accounted for, so a
    /// scheduler that takes over need not wait for them.
    pub fn mark_expired_guards(
        &mut self,
        now: Millis,
    ) -> Vec<UpstreamName> {
        let horizon = self.leases.expiry_delay();
        if self.hold_starts_until < now {
            for name in &self.unreported_guards {
                self.upstreams.entry(name.clone()).or_default();
            }
        }
        let hold_until = self.hold_starts_until;
        let silent = self.upstreams.iter_mut().filter(|(_, u)| {
            let lapsed = u.last_report_at.map_or(hold_until, |at| at + horizon);
            !u.is_deregistering && !u.is_connected && lapsed < now
        });
        let dropped = silent.map(|(name, u)| {
            u.is_deregistering = true;
            name.clone()
        });
        dropped.collect()
    }

    /// Forgets a guard that is no longer registered: its worker has ended, or all leases there have.
    pub fn remove_guard(
        &mut self,
        name: &UpstreamName,
        now: Millis,
    ) {
        self.mark_worker_lost(name, now, "its guard is no longer registered");
        self.unreported_guards.remove(name);
        self.upstreams.remove(name);
        self.pending_orders.remove(name);
        self.messages_sent.remove(name);
    }

    /// Tells whether a guard has orders to be sent.
    pub fn has_orders(
        &self,
        name: &UpstreamName,
    ) -> bool {
        let orders = self.pending_orders.get(name);
        orders.is_some_and(|o| !o.starts.is_empty() || !o.stops.is_empty())
    }

    /// Builds the next message of a session.
    pub fn next_message(
        &mut self,
        name: &UpstreamName,
        token: u64,
    ) -> GuardOrders {
        let orders = self.pending_orders.remove(name).unwrap_or_default();
        let sent = self.messages_sent.entry(name.clone()).or_default();
        *sent += 1;
        let upstream = self.upstreams.get(name);
        GuardOrders {
            token,
            number: *sent,
            echo_ms: upstream.map_or(0, |u| u.guard_clock_ms),
            guard_lease_ms: self.leases.guard.0,
            worker_lease_ms: self.leases.worker.0,
            worker: upstream.and_then(|u| u.incarnation.clone()),
            starts: orders.starts,
            stops: orders.stops,
            noted_end: upstream.map_or(0, |u| u.acknowledged_end),
        }
    }

    /// Returns up to `limit` jobs whose progress has to be recorded, with the number of the change
    /// that the record holds.
    pub fn unrecorded_progress(
        &mut self,
        limit: usize,
    ) -> Vec<(StepJobId, u64, JobProgress)> {
        let term = self.term;
        let open = self
            .jobs
            .iter_mut()
            .filter(|(_, j)| j.last_change > j.last_recorded_change);
        let taken = open.take(limit).map(|(id, job)| {
            job.progress.stamp = ProgressStamp {
                term,
                number: job.last_change,
            };
            (*id, job.last_change, job.progress.clone())
        });
        taken.collect()
    }

    /// Notes that a job's progress is recorded up to a change.
    pub fn mark_recorded(
        &mut self,
        id: StepJobId,
        change: u64,
    ) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.last_recorded_change = job.last_recorded_change.max(change);
            job.has_term_record = true;
        }
        self.drop_if_ended(id);
    }

    /// Lets workers forget the ends whose jobs are recorded. Returns the guards to be told.
    pub fn advance_acknowledged_ends(&mut self) -> Vec<UpstreamName> {
        let mut told = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            let before = upstream.acknowledged_end;
            while let Some(first) = upstream.unacknowledged_ends.first_entry() {
                let is_recorded = first.get().is_none_or(|(id, change)| {
                    self.jobs
                        .get(&id)
                        .is_none_or(|j| j.last_recorded_change >= change)
                });
                if !is_recorded {
                    break;
                }
                upstream.acknowledged_end = upstream.acknowledged_end.max(*first.key());
                first.remove();
            }
            if upstream.acknowledged_end != before {
                told.push(name.clone());
            }
        }
        told
    }

    /// Notes a change of a job's progress.
    pub(super) fn mark_changed(
        &mut self,
        id: StepJobId,
    ) {
        self.change_count += 1;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.last_change = self.change_count;
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
        let running = job
            .active_units
            .keys()
            .filter(|u| !job.progress.done.contains(u));
        let active: Vec<UnitId> = running.copied().collect();
        tracing::info!(job = %id, ?phase, running = active.len(), "job ended");
        for unit in active {
            self.stop_unit(id, unit, "its job has ended");
        }
        self.mark_changed(id);
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
        let Some(active) = job.active_units.get_mut(&unit) else {
            return;
        };
        active.is_stopping = true;
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
        if placed.is_stopping {
            return;
        }
        placed.is_stopping = true;
        self.pending_orders
            .entry(name.clone())
            .or_default()
            .stops
            .push(run);
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
        let last_run = job.highest_run.entry(unit).or_default();
        *last_run = (*last_run).max(term << TERM_SHIFT_BITS) + 1;
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
                progress_percent: 0,
                order_message_number: self.messages_sent.get(name).copied().unwrap_or_default() + 1,
                known_since: now,
                is_stopping: false,
            };
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.runs.insert(run, placed);
            }
            let start = RunStart {
                run,
                payload: job.job.payload.clone(),
                checkpoint: checkpoint.clone(),
            };
            self.pending_orders
                .entry(name.clone())
                .or_default()
                .starts
                .push(start);
        }
        job.active_units.insert(
            unit,
            ActiveUnit {
                run,
                members,
                active_since: now,
                is_stopping: false,
            },
        );
        if job.progress.phase == JobPhase::Queued {
            job.progress.phase = JobPhase::Running;
            self.mark_changed(id);
        }
    }
}
