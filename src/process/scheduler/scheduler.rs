//! The state of the scheduler and the orders that follow from it, without any I/O.

use {
    super::{
        ActiveUnit, JobUnit, LeaseTerms, OpenJob, PendingOrders, PlacedRun, SchedulerCounts,
        UnitPlacementPolicy, UpstreamState, pass_reservation::Reservations, upstream::NOT_SENT,
    },
    crate::{
        connection::{GuardOrders, RunPhase, RunStart},
        prelude::*,
        process::ledger::{JobView, RecordLimits},
        request::{JobPhase, JobProgress, ProgressStamp, RunRef, StepJobId, SubtaskId, UnitId},
        version::QueueTable,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The number of low bits in fencing tokens and run numbers that count the sessions and starts
/// within one term; the term is in the bits above.
pub(super) const TERM_SHIFT_BITS: u32 = 16;

/// The time within which work within its account's guarantee starts if the settings give none.
pub const DEFAULT_RECLAIM_TIME: Duration = Duration::from_millis(2500);

/// The scheduling state of one term: open jobs, workers, and the orders for each guard.
pub struct Scheduler {
    /// The fencing term.
    pub term: u64,
    /// The durations of the guards' and workers' leases.
    pub leases: LeaseTerms,
    /// The factor by which work takes longer when it runs remote from its data.
    pub remote_factor: u64,
    /// The time within which work within its account's guarantee starts. Half of it may pass while
    /// the work waits for its rack; the rest is for stopping other work.
    pub reclaim_time: Duration,
    /// The sizes that the store accepts.
    pub record_limits: RecordLimits,
    /// The queues and accounts of the configuration in force, once one is known.
    pub queue_table: Option<Rc<QueueTable>>,
    /// The open jobs.
    pub jobs: BTreeMap<StepJobId, OpenJob>,
    /// The workers, by the name of their guard.
    pub upstreams: BTreeMap<UpstreamName, UpstreamState>,
    /// The events since the last export of metrics.
    pub counts: SchedulerCounts,
    /// The data centres in which nothing is started, as they were last known.
    pub(super) evacuated: Rc<BTreeSet<DataCentre>>,
    /// Whether the evacuated data centres are known at present. Otherwise, nothing is started.
    pub(super) knows_evacuations: bool,
    /// The units for which the last pass reserved workers.
    pub(super) reservations: Reservations,
    pub(super) placement_policy: Box<dyn UnitPlacementPolicy>,
    pub(super) pending_orders: BTreeMap<UpstreamName, PendingOrders>,
    pub(super) messages_sent: BTreeMap<UpstreamName, u64>,
    pub(super) change_count: u64,
    /// When the last append was sent that the store has confirmed under this term.
    pub(super) confirmed_at: Millis,
    /// Whether the leader's lease was valid in the last pass.
    pub(super) was_leased: bool,
    /// Guards registered at the takeover that have not reported all runs and ends of their workers
    /// yet, so that other runs there are unknown.
    pub(super) unreported_guards: BTreeSet<UpstreamName>,
    /// The time at which the leases of all runs on unreported guards have expired.
    pub(super) hold_starts_until: Millis,
    /// Whether starts were held in the last pass because of guards that have not reported.
    pub(super) is_waiting_for_guards: bool,
}

impl Scheduler {
    /// Creates the scheduler of a term, which starts nothing before
    /// [`confirm_leadership`](Self::confirm_leadership) and
    /// [`set_evacuated`](Self::set_evacuated). Until all of `guards` have reported or their workers'
    /// leases have expired, it starts only jobs that no earlier scheduler can have started.
    pub fn new(
        term: u64,
        leases: LeaseTerms,
        remote_factor: u64,
        placement_policy: Box<dyn UnitPlacementPolicy>,
        guards: BTreeSet<UpstreamName>,
        now: Millis,
    ) -> Self {
        Self {
            term,
            leases,
            remote_factor,
            reclaim_time: DEFAULT_RECLAIM_TIME,
            record_limits: RecordLimits::default(),
            queue_table: None,
            jobs: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            counts: SchedulerCounts::default(),
            evacuated: Rc::default(),
            reservations: Reservations::new(),
            knows_evacuations: false,
            placement_policy,
            pending_orders: BTreeMap::new(),
            messages_sent: BTreeMap::new(),
            change_count: 0,
            confirmed_at: Millis(0),
            was_leased: false,
            is_waiting_for_guards: !guards.is_empty(),
            unreported_guards: guards,
            hold_starts_until: now + leases.takeover_delay(),
        }
    }

    /// Applies the ledger's view of a job: adds an open job that is new and cancels a job whose
    /// caller has cancelled it.
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
        if view.is_cancelled {
            self.end_job(id, JobPhase::Cancelled);
        }
        self.drop_if_ended(id);
    }

    /// Records that a session with a guard has opened and discards the orders of the session
    /// before.
    pub fn open_session(
        &mut self,
        name: &UpstreamName,
    ) {
        self.messages_sent.insert(name.clone(), 0);
        self.pending_orders.remove(name);
        let upstream = self.upstreams.entry(name.clone()).or_default();
        upstream.is_connected = true;
        upstream.has_session_report = false;
        // The guard may have restarted since, and its clock with it.
        upstream.guard_clock_ms = None;
        // The new token fences orders in flight: stops have to be ordered again, and a start has
        // been carried out by the first report of the session or never will be.
        for placed in upstream.runs.values_mut() {
            placed.is_stopping = false;
            placed.order_message_number = 0;
        }
    }

    /// Records that the session with a guard has closed.
    pub fn close_session(
        &mut self,
        name: &UpstreamName,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.is_connected = false;
        }
    }

    /// Returns whether a guard has unsent orders.
    pub fn has_orders(
        &self,
        name: &UpstreamName,
    ) -> bool {
        self.pending_orders.get(name).is_some_and(|o| !o.is_empty())
    }

    /// Builds the next message of a session from the unsent orders. Starts that one frame does not
    /// carry stay for the messages after it.
    pub fn next_message(
        &mut self,
        name: &UpstreamName,
        token: u64,
    ) -> GuardOrders {
        let pending = self.pending_orders.get_mut(name);
        let orders = pending.map(PendingOrders::take_message).unwrap_or_default();
        let sent = self.messages_sent.entry(name.clone()).or_default();
        *sent += 1;
        let number = *sent;
        if let Some(upstream) = self.upstreams.get_mut(name) {
            let starts = orders.starts.iter().map(|s| &s.run);
            upstream.record_sent(starts.chain(&orders.dropped), &orders.stops, number);
        }
        let upstream = self.upstreams.get(name);
        GuardOrders {
            token,
            number,
            echoed_clock_ms: upstream.and_then(|u| u.guard_clock_ms).unwrap_or(0),
            guard_lease_ms: self.guard_lease(upstream).0,
            worker_lease_ms: self.leases.worker.0,
            worker: upstream.and_then(|u| u.incarnation.clone()),
            starts: orders.starts,
            stops: orders.stops,
            acknowledged_end: upstream.map_or(0, |u| u.acknowledged_end),
        }
    }

    /// Returns the jobs that have unrecorded changes, each with the number of its last change.
    pub fn unrecorded_jobs(&self) -> impl Iterator<Item = (StepJobId, u64)> {
        let unrecorded = self
            .jobs
            .iter()
            .filter(|(_, j)| j.last_change > j.last_recorded_change);
        unrecorded.map(|(id, j)| (*id, j.last_change))
    }

    /// Returns the progress of a job to be recorded, with the number of its last change; `None` if
    /// the job is no longer open.
    pub fn progress_to_record(
        &mut self,
        id: StepJobId,
    ) -> Option<(u64, JobProgress)> {
        let term = self.term;
        let job = self.jobs.get_mut(&id)?;
        job.progress.stamp = ProgressStamp {
            term,
            number: job.last_change,
        };
        Some((job.last_change, job.progress.clone()))
    }

    /// Marks a job's progress as recorded up to a change.
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

    /// Acknowledges the ends whose jobs are recorded, so that workers may forget them. Returns the
    /// guards to notify.
    pub fn advance_acknowledged_ends(&mut self) -> Vec<UpstreamName> {
        let mut advanced = Vec::new();
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
                advanced.push(name.clone());
            }
        }
        advanced
    }

    /// Marks a job's progress as changed, so that it is recorded.
    pub(super) fn mark_changed(
        &mut self,
        id: StepJobId,
    ) {
        self.change_count += 1;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.last_change = self.change_count;
        }
    }

    /// Ends a job in a final phase and stops its running units. Does nothing for a job that has
    /// ended.
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
        // The other members of a gang that has finished end by themselves.
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

    /// Orders one run to stop.
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
        placed.stop_message_number = NOT_SENT;
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
        lenders: Vec<JobUnit>,
        now: Millis,
    ) {
        let term = self.term;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(step) = job.job.step_of(unit).cloned() else {
            return;
        };
        let highest_run = job.highest_run.entry(unit).or_default();
        *highest_run = (*highest_run).max(term << TERM_SHIFT_BITS) + 1;
        let run = *highest_run;
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
                order_message_number: NOT_SENT,
                known_since: now,
                is_stopping: false,
                stop_message_number: 0,
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
                lenders,
            },
        );
    }
}
