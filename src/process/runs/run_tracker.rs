//! A guard's record of its worker and of the runs on it, as plain data without I/O.

use {
    super::{
        PollResponse, Session, WorkerAddress, WorkerHeartbeat, WorkerInfo, WorkerOrder,
        worker_end::longest_lease,
    },
    crate::{
        connection::{
            GuardOrders, GuardReport, RefusedStart, RunEnd, RunPhase, RunStatus, StartRefusal,
            WorkerIncarnation, WorkerReport, WorkerView,
        },
        prelude::*,
        request::RunRef,
    },
    std::collections::BTreeMap,
};

/// The maximum age of the worker's last poll response for its lease to be extended: the time that a
/// poll may wait, and 600 ms. A worker may carry out calls whose responses are lost, so this bounds
/// the lease of a worker that receives its guard's calls and whose responses do not arrive.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1500);

/// The maximum number of refused starts that are kept for the reports; the oldest are dropped.
const MAX_REFUSED_STARTS: usize = 64;

/// A run that is active on the worker or may be.
#[derive(Clone, Debug, PartialEq)]
struct TrackedRun {
    status: RunStatus,
    /// When the worker last confirmed its phase; a poll that is sent later must list the run.
    confirmed_at: Option<Millis>,
}

/// The state of a guard's worker, its runs and their ends, and the session.
#[derive(Clone, Debug, Default)]
pub struct RunTracker {
    /// The latest session, which stays after its connection has closed; `None` before the first one
    /// and after the worker has restarted under its ID.
    pub session: Option<Session>,
    /// The highest fencing token of any session so far.
    pub highest_token: u64,
    /// The data centre of the machine; `None` if it is not known.
    pub data_centre: Option<DataCentre>,
    /// The worker's address and incarnation.
    pub worker: Option<WorkerAddress>,
    /// The number of the last end that the scheduling entry has acknowledged.
    pub acknowledged_end: u64,
    /// When the last message of a session arrived.
    pub last_orders_at: Millis,
    /// The number of the guard's registration while it is known to be stored.
    registration: Option<u64>,
    /// Whether the registration is being removed, so that no worker may be used.
    pub(super) is_withdrawn: bool,
    /// The last heartbeat of a worker that waits for the guard's registration, or for the end of the
    /// present worker.
    pub(super) waiting_heartbeat: Option<WorkerHeartbeat>,
    pub(super) info: Option<WorkerInfo>,
    heartbeat_sequence: u64,
    /// When the last heartbeat arrived.
    pub(super) heartbeat_at: Millis,
    /// When the worker's address began to refuse connections.
    pub(super) refused_since: Option<Millis>,
    pub(super) worker_ended: bool,
    /// Whether the worker looks as if it had ended, although its lease has not expired.
    pub(super) seems_ended: bool,
    /// Whether the worker has deregistered and may not have ended yet.
    pub(super) is_departing: bool,
    /// When the last lease that was granted to the worker expires; zero if none was.
    pub(super) leases_expire_at: Millis,
    /// Whether another incarnation has answered at the worker's address.
    pub(super) is_replaced: bool,
    /// The incarnation that has deregistered last.
    pub(super) departed: Option<WorkerIncarnation>,
    /// The token of the last poll that was answered, and when its response arrived.
    last_poll: Option<(u64, Millis)>,
    /// Whether the last poll response has all runs and all unacknowledged ends.
    is_list_complete: bool,
    /// The worker's clock in milliseconds, and when it was received.
    worker_clock: Option<(u64, Millis)>,
    runs: BTreeMap<RunRef, TrackedRun>,
    ends: BTreeMap<u64, RunEnd>,
    refused_starts: Vec<RefusedStart>,
}

impl RunTracker {
    /// Applies a heartbeat, unless it is repeated, outdated or from an earlier incarnation. Returns
    /// whether the worker or its information has changed.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: WorkerHeartbeat,
        now: Millis,
    ) -> bool {
        if self.is_withdrawn {
            let is_first = self.waiting_heartbeat.is_none();
            self.waiting_heartbeat = Some(heartbeat);
            return is_first;
        }
        let is_same = self.is_worker(&heartbeat.worker);
        let known_born_ms = self.worker.as_ref().map_or(0, |w| w.life.started_at_ms);
        let life = &heartbeat.worker.life;
        // A heartbeat that was sent before the worker left may arrive afterwards.
        let has_left = self.departed.as_ref() == Some(life);
        // The time of day may jump back between two incarnations, so an earlier start is believed
        // once another incarnation has answered.
        let is_older = life.started_at_ms < known_born_ms && !self.is_replaced;
        if is_same && heartbeat.sequence <= self.heartbeat_sequence || is_older || has_left {
            return false;
        }
        if !self.is_replaceable_by(&heartbeat.worker, now) {
            let is_first = self.waiting_heartbeat.is_none();
            if is_first {
                tracing::warn!(id = %life.id, born_ms = life.started_at_ms, address = %heartbeat.worker.address, "another worker reports while the present one may run; it is not used yet");
            }
            self.waiting_heartbeat = Some(heartbeat);
            return is_first;
        }
        if !is_same {
            if self.worker.as_ref().is_some_and(|w| w.life.id == life.id) {
                // The worker's ID does not keep orders for its earlier incarnation from this one.
                // The token of the next session does, and the first poll then shows what arrived.
                tracing::info!(id = %life.id, born_ms = life.started_at_ms, "the worker has restarted under its ID; closing the session");
                self.session = None;
            }
            self.remove_worker();
        }
        self.worker = Some(heartbeat.worker);
        self.heartbeat_sequence = heartbeat.sequence;
        self.heartbeat_at = now;
        self.worker_ended = false;
        self.seems_ended = false;
        let is_new = self.info.as_ref() != Some(&heartbeat.info);
        self.info = Some(heartbeat.info);
        is_new || !is_same
    }

    /// Stops extending leases and using new workers, because the guard's registration is being
    /// removed.
    pub fn withdraw_registration(&mut self) {
        self.registration = None;
        self.is_withdrawn = true;
    }

    /// Records that the guard is registered under a number, and uses a worker that has waited for
    /// that.
    pub fn confirm_registration(
        &mut self,
        registration: u64,
        now: Millis,
    ) {
        self.registration = Some(registration);
        self.is_withdrawn = false;
        self.use_waiting_worker(now);
    }

    /// Returns whether `worker` is the present worker, which may have changed its address.
    pub fn is_worker(
        &self,
        worker: &WorkerAddress,
    ) -> bool {
        self.worker.as_ref().is_some_and(|w| w.life == worker.life)
    }

    /// Records that another incarnation has answered at the worker's address.
    pub fn record_other_incarnation(&mut self) {
        self.is_replaced = true;
    }

    /// Opens a session. Returns `false` if its token is not higher than all earlier ones.
    pub fn open_session(
        &mut self,
        token: u64,
    ) -> bool {
        if token <= self.highest_token {
            return false;
        }
        self.highest_token = token;
        self.last_poll = None;
        self.refused_starts.clear();
        self.session = Some(Session {
            token,
            last_handled: 0,
            lease_expires_at: Millis(0),
            worker_lease: Millis(0),
        });
        true
    }

    /// Applies the leases and the acknowledged ends of a message of the session. Returns whether
    /// its orders are to be carried out: not if they are for another incarnation of the worker, or
    /// if their lease expired before they arrived.
    pub fn renew_session(
        &mut self,
        orders: &GuardOrders,
        now: Millis,
    ) -> bool {
        let Some(session) = &mut self.session else {
            return false;
        };
        session.last_handled = orders.number;
        self.last_orders_at = now;
        session.lease_expires_at = Millis(orders.echoed_clock_ms + orders.guard_lease_ms);
        session.worker_lease = Millis(orders.worker_lease_ms);
        let is_leased = session.lease_expires_at > now;
        let is_for_worker = orders.worker.is_some()
            && orders.worker.as_ref() == self.worker.as_ref().map(|w| &w.life);
        if is_for_worker && orders.acknowledged_end > self.acknowledged_end {
            self.acknowledged_end = orders.acknowledged_end;
            self.ends = self.ends.split_off(&(self.acknowledged_end + 1));
        }
        is_leased && is_for_worker
    }

    /// Applies a message of the session and returns the calls to make to the worker. A repeated
    /// message is ignored; starts that must not be carried out are recorded as refused.
    pub fn apply_orders(
        &mut self,
        orders: &GuardOrders,
        now: Millis,
    ) -> Vec<WorkerOrder> {
        if self
            .session
            .is_some_and(|s| orders.number <= s.last_handled)
        {
            return Vec::new();
        }
        if !self.renew_session(orders, now) {
            for start in &orders.starts {
                tracing::warn!(run = %start.run, token = orders.token, "start refused: it is for another worker, or its lease has expired");
                self.refuse_start(start.run, StartRefusal::Late);
            }
            return Vec::new();
        }
        let mut calls = Vec::new();
        for run in &orders.stops {
            if self.begin_stop(*run) {
                calls.push(WorkerOrder::Stop(*run));
            }
        }
        for start in &orders.starts {
            if orders.stops.contains(&start.run) {
                // The stop was ordered last; a run that is started now would not be stopped.
                tracing::info!(run = %start.run, "start refused: the same message stops the run");
                self.refuse_start(start.run, StartRefusal::Old);
            } else if self.is_leaving() || self.is_withdrawn {
                tracing::info!(run = %start.run, "start refused: the worker is leaving, or the guard is not registered");
                self.refuse_start(start.run, StartRefusal::Unhealthy);
            } else if self.begin_start(start.run) {
                calls.push(WorkerOrder::Start(start.clone()));
            }
        }
        calls
    }

    /// Returns whether the session's lease is valid, so that the worker's may be extended.
    pub fn is_leased(
        &self,
        now: Millis,
    ) -> bool {
        self.session.is_some_and(|s| s.lease_expires_at > now)
    }

    /// Returns the end of the worker's lease, in milliseconds by its own clock. The caller grants the
    /// lease, so it counts from now on. Returns `None` if the session's lease has expired, the
    /// worker's clock is unknown or its last answer too old, and while the worker has deregistered or
    /// refuses connections or the guard is not registered.
    pub fn deadline_ms(
        &mut self,
        now: Millis,
    ) -> Option<u64> {
        if self.is_departing || self.is_withdrawn || self.refused_since.is_some() {
            return None;
        }
        let session = self.session.filter(|s| s.lease_expires_at > now)?;
        let (clock_ms, read_at) = self.worker_clock?;
        if now.since(read_at) > MAX_ANSWER_AGE {
            return None;
        }
        let lease = self.lease_to_grant(session.worker_lease);
        self.record_leases_until(now + longest_lease(lease));
        Some(clock_ms + (now - read_at).0 + lease.0)
    }

    /// Returns the time since the worker's lease could last be extended, which takes a recent
    /// answer; `None` if the worker has not answered yet.
    fn lease_age(
        &self,
        now: Millis,
    ) -> Option<Duration> {
        let (_, read_at) = self.worker_clock?;
        Some(now.since(read_at + Millis::from(MAX_ANSWER_AGE)))
    }

    /// Returns whether the worker has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_departing || self.info.as_ref().is_some_and(|i| i.leaving_ms.is_some())
    }

    /// Returns whether `token` belongs to the current session.
    pub fn is_current_token(
        &self,
        token: u64,
    ) -> bool {
        self.highest_token == token
    }

    /// Returns whether the session with `token` is the current one and was not closed.
    pub fn is_session_open(
        &self,
        token: u64,
    ) -> bool {
        self.session.is_some_and(|s| s.token == token)
    }

    /// Records that a start is being sent. Returns `false` if the run is already tracked.
    pub fn begin_start(
        &mut self,
        run: RunRef,
    ) -> bool {
        let is_new = !self.runs.contains_key(&run);
        if is_new {
            let status = RunStatus {
                run,
                phase: RunPhase::Starting,
                checkpoint: None,
                progress_percent: 0,
            };
            let confirmed_at = None;
            self.runs.insert(
                run,
                TrackedRun {
                    status,
                    confirmed_at,
                },
            );
        }
        is_new
    }

    /// Records that the worker has started a run.
    pub fn confirm_start(
        &mut self,
        run: RunRef,
        now: Millis,
    ) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            if tracked.status.phase == RunPhase::Starting {
                tracked.status.phase = RunPhase::Running;
            }
            tracked.confirmed_at = Some(now);
        }
    }

    /// Records that a run was certainly not started, to be reported to the scheduling entry.
    pub fn refuse_start(
        &mut self,
        run: RunRef,
        reason: StartRefusal,
    ) {
        self.runs.remove(&run);
        if self.refused_starts.len() == MAX_REFUSED_STARTS {
            self.refused_starts.remove(0);
        }
        self.refused_starts.push(RefusedStart { run, reason });
    }

    /// Records that a run is being stopped or that its start is being undone. Returns `false` if
    /// the run is not tracked, because it has ended or was never started.
    pub fn begin_stop(
        &mut self,
        run: RunRef,
    ) -> bool {
        match self.runs.get_mut(&run) {
            Some(tracked) => {
                tracked.status.phase = RunPhase::Stopping;
                tracked.confirmed_at = None;
                true
            }
            None => false,
        }
    }

    /// Records that the worker has acknowledged the stop of a run.
    pub fn confirm_stop(
        &mut self,
        run: RunRef,
        now: Millis,
    ) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.confirmed_at = Some(now);
        }
    }

    /// Applies the response to a poll that was sent at `sent` under `token`. Returns whether it is
    /// the first one of the session, or the runs, their phases or the number of unacknowledged ends
    /// have changed.
    pub fn apply_poll(
        &mut self,
        token: u64,
        sent: Millis,
        now: Millis,
        response: PollResponse,
    ) -> bool {
        if !self.is_current_token(token) {
            return false;
        }
        let is_first = self.last_poll.is_none_or(|(t, _)| t != token);
        self.last_poll = Some((token, now));
        self.worker_clock = Some((response.clock_ms, now));
        let before: Vec<(RunRef, RunPhase)> = self.phases();
        let ends_before = self.ends.len();
        self.record_completeness(&response);
        let listed: BTreeMap<RunRef, RunStatus> =
            response.running.into_iter().map(|s| (s.run, s)).collect();
        if is_first {
            // The worker now refuses calls with earlier tokens, so a run that is not listed does
            // not exist, and stops that were being sent under those tokens have no effect.
            self.runs.clear();
        }
        self.runs.retain(|run, tracked| {
            listed.contains_key(run) || tracked.confirmed_at.is_none_or(|at| at >= sent)
        });
        for (run, status) in listed {
            self.apply_listed_run(run, status, now);
        }
        for end in response.ended {
            self.runs.remove(&end.run);
            if end.number > self.acknowledged_end {
                self.ends.insert(end.number, end);
            }
        }
        is_first || before != self.phases() || ends_before != self.ends.len()
    }

    /// Records whether the worker has listed all of its ends. The ends of runs that it no longer
    /// lists are unknown while it has not; the reports say so, and the scheduling entry keeps the runs.
    fn record_completeness(
        &mut self,
        response: &PollResponse,
    ) {
        if response.is_complete != self.is_list_complete {
            self.is_list_complete = response.is_complete;
            tracing::info!(
                is_complete = response.is_complete,
                ends = response.ended.len(),
                runs = response.running.len(),
                "completeness of the worker's lists changed"
            );
        }
    }

    /// Returns whether the scheduling entry has yet to acknowledge ends.
    pub fn has_unacknowledged_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Returns the report for the session. It describes the worker only once it has been polled
    /// under the session's token.
    pub fn report(
        &self,
        now: Millis,
    ) -> GuardReport {
        let token = self.session.map_or(0, |s| s.token);
        let last_poll = self.last_poll.filter(|(t, _)| *t == token);
        GuardReport {
            token,
            last_handled: self.session.map_or(0, |s| s.last_handled),
            clock_ms: now.0,
            highest_token: self.highest_token,
            worker: self.worker_view(last_poll.map(|(_, at)| now.since(at)), now),
            registration: self.registration,
            lease_age_ms: self.lease_age(now).map(|age| Millis::from(age).0),
            lists_all_runs: self.is_list_complete,
            data_centre: self.data_centre.clone(),
        }
    }

    fn worker_view(
        &self,
        answer_age: Option<Duration>,
        now: Millis,
    ) -> WorkerView {
        let report = answer_age.and_then(|age| self.worker_report(age, now));
        match report {
            Some(report) => WorkerView::Known(report),
            None if self.worker_ended => WorkerView::Ended,
            None => WorkerView::Unknown,
        }
    }

    /// Returns whether the worker has answered a poll under the session's token.
    pub fn is_polled(&self) -> bool {
        let token = self.session.map_or(0, |s| s.token);
        self.last_poll.is_some_and(|(t, _)| t == token)
    }

    fn worker_report(
        &self,
        answer_age: Duration,
        now: Millis,
    ) -> Option<WorkerReport> {
        let info = self.info.as_ref()?;
        let heartbeat_age = Millis::from(now.since(self.heartbeat_at)).0;
        Some(WorkerReport {
            incarnation: self.worker.as_ref()?.life.clone(),
            service: info.service.clone(),
            capacity: info.capacity,
            labels: info.labels.clone(),
            remaining_ms: if self.is_departing {
                Some(0)
            } else {
                info.leaving_ms.map(|ms| ms.saturating_sub(heartbeat_age))
            },
            unresponsive_ms: Millis::from(answer_age).0,
            runs: self.runs.values().map(|r| r.status.clone()).collect(),
            ends: self.ends.values().cloned().collect(),
            refused: self.refused_starts.clone(),
        })
    }

    fn apply_listed_run(
        &mut self,
        run: RunRef,
        status: RunStatus,
        now: Millis,
    ) {
        match self.runs.get_mut(&run) {
            Some(tracked) => {
                if tracked.status.phase == RunPhase::Starting {
                    tracked.status.phase = RunPhase::Running;
                    tracked.confirmed_at = Some(now);
                }
                tracked.status.checkpoint = status.checkpoint;
                tracked.status.progress_percent = status.progress_percent;
            }
            None => {
                let confirmed_at = Some(now);
                self.runs.insert(
                    run,
                    TrackedRun {
                        status,
                        confirmed_at,
                    },
                );
            }
        }
    }

    fn phases(&self) -> Vec<(RunRef, RunPhase)> {
        self.runs
            .iter()
            .map(|(run, tracked)| (*run, tracked.status.phase))
            .collect()
    }

    pub(super) fn remove_worker(&mut self) {
        self.worker = None;
        self.seems_ended = false;
        self.is_departing = false;
        self.info = None;
        self.heartbeat_sequence = 0;
        self.last_poll = None;
        self.is_list_complete = false;
        self.worker_clock = None;
        self.refused_since = None;
        self.is_replaced = false;
        self.acknowledged_end = 0;
        self.runs.clear();
        self.ends.clear();
        self.refused_starts.clear();
    }
}
