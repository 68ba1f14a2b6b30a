//! What a guard knows of its worker, as plain data.

use {
    super::{PollResponse, Session, WorkerAddress, WorkerHeartbeat, WorkerInfo, WorkerOrder},
    crate::{
        connection::{
            GuardOrders, GuardReport, RefusedStart, RunEnd, RunPhase, RunStatus, StartRefusal,
            WorkerReport, WorkerView,
        },
        prelude::*,
        request::RunRef,
    },
    std::collections::BTreeMap,
};

/// How long a worker may not have answered before its lease is no longer extended: the wait of a
/// look and half of it again. Calls without an answer may be carried out, so this bounds the lease
/// of a worker that hears its guard and is not heard.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1500);

/// How long connections have to be refused before a worker that has not answered may be taken for
/// ended: several looks, so that a restart of its listener does not count.
const MIN_REFUSAL_DURATION: Duration = Duration::from_millis(600);

/// After how many heartbeat intervals without a heartbeat a worker that refuses connections has
/// ended, in percent of one interval. A worker that lives sends one in each.
const HEARTBEAT_TIMEOUT_PERCENT: u32 = 140;

/// The most refused starts that are reported again.
const MAX_REFUSED_STARTS: usize = 64;

/// A run and how surely it is known.
#[derive(Clone, Debug, PartialEq)]
struct TrackedRun {
    status: RunStatus,
    /// When its phase was confirmed by the worker; a look sent later must list it.
    confirmed_at: Option<Millis>,
}

/// The worker's standing, runs and ends, and the session.
#[derive(Debug, Default)]
pub struct RunTracker {
    /// The session, if there is one.
    pub session: Option<Session>,
    /// The highest fencing token ever seen.
    pub highest_token: u64,
    /// The worker's address and life.
    pub worker: Option<WorkerAddress>,
    /// The number of the last recorded end.
    pub acknowledged_end: u64,
    /// When the last message of a session came.
    pub last_orders_at: Millis,
    info: Option<WorkerInfo>,
    heartbeat_sequence: u64,
    /// When the last heartbeat came.
    heartbeat_at: Millis,
    /// Since when the worker's address refuses connections.
    refused_since: Option<Millis>,
    /// Whether a worker was known and has ended since.
    worker_ended: bool,
    last_poll: Option<(u64, Millis)>,
    worker_clock: Option<(u64, Millis)>,
    runs: BTreeMap<RunRef, TrackedRun>,
    ends: BTreeMap<u64, RunEnd>,
    refused_starts: Vec<RefusedStart>,
}

impl RunTracker {
    /// Takes a heartbeat; tells whether it says something new.
    pub fn apply_heartbeat(
        &mut self,
        beat: WorkerHeartbeat,
        now: Millis,
    ) -> bool {
        let is_same = self.worker.as_ref() == Some(&beat.worker);
        let known_born = self.worker.as_ref().map_or(0, |w| w.life.born_ms);
        if is_same && beat.sequence <= self.heartbeat_sequence
            || beat.worker.life.born_ms < known_born
        {
            return false;
        }
        if !is_same {
            self.remove_worker();
            self.worker = Some(beat.worker);
        }
        self.heartbeat_sequence = beat.sequence;
        self.heartbeat_at = now;
        self.worker_ended = false;
        let is_new = self.info.as_ref() != Some(&beat.info);
        self.info = Some(beat.info);
        is_new || !is_same
    }

    /// Forgets the worker when it says that it leaves for good.
    pub fn apply_deregistration(
        &mut self,
        id: &str,
    ) -> bool {
        let is_known = self.worker.as_ref().is_some_and(|w| &*w.life.id == id);
        if is_known {
            self.remove_worker();
            self.worker_ended = true;
        }
        is_known
    }

    /// Notes that the worker's address, which is on this machine, has refused a connection. Returns
    /// whether the worker is thereby known to have ended: its address keeps refusing, and it has
    /// left out a heartbeat or the time for which it said that it would stay is over.
    pub fn record_refused_connection(
        &mut self,
        now: Millis,
        beat_interval: Duration,
    ) -> bool {
        let since = *self.refused_since.get_or_insert(now);
        if self.worker.is_none() || now.since(since) < MIN_REFUSAL_DURATION {
            return false;
        }
        let silent = now.since(self.heartbeat_at);
        let leaving_ms = self.info.as_ref().and_then(|i| i.leaving_ms);
        let has_left = leaving_ms.is_some_and(|ms| silent >= Duration::from_millis(ms));
        if !has_left && silent < beat_interval * HEARTBEAT_TIMEOUT_PERCENT / 100 {
            return false;
        }
        self.remove_worker();
        self.worker_ended = true;
        true
    }

    /// Notes that the worker's address has taken a connection.
    pub fn record_connection(&mut self) {
        self.refused_since = None;
    }

    /// Tells whether a worker was known and has ended, and no other one was heard since.
    pub fn has_worker_ended(&self) -> bool {
        self.worker_ended
    }

    /// Opens a session; `false` when a higher or the same token is known.
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

    /// Takes the lease and the recorded ends of a message of the session. Returns whether its
    /// orders are to be carried out: they are not when they are for another life of the worker or
    /// came after their lease.
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
        session.lease_expires_at = Millis(orders.echo_ms + orders.guard_lease_ms);
        session.worker_lease = Millis(orders.worker_lease_ms);
        let is_leased = session.lease_expires_at > now;
        let is_for_worker = orders.worker.is_some()
            && orders.worker.as_ref() == self.worker.as_ref().map(|w| &w.life);
        if is_for_worker && orders.noted_end > self.acknowledged_end {
            self.acknowledged_end = orders.noted_end;
            self.ends = self.ends.split_off(&(self.acknowledged_end + 1));
        }
        is_leased && is_for_worker
    }

    /// Takes a message of the session whose orders may be carried out, and returns the calls that
    /// have to be made to the worker.
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
                tracing::warn!(run = %start.run, token = orders.token, "start refused: it is for another worker or past its lease");
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
            if self.is_leaving() {
                tracing::info!(run = %start.run, "start refused: the worker leaves");
                self.refuse_start(start.run, StartRefusal::Unhealthy);
            } else if self.begin_start(start.run) {
                calls.push(WorkerOrder::Start(start.clone()));
            }
        }
        calls
    }

    /// Returns until when the worker may run on, by its own clock in milliseconds; `None` when the
    /// session's lease is over or the worker's clock is not known.
    pub fn deadline_ms(
        &self,
        now: Millis,
    ) -> Option<u64> {
        let session = self.session.filter(|s| s.lease_expires_at > now)?;
        let (clock_ms, read_at) = self.worker_clock?;
        if now.since(read_at) > MAX_ANSWER_AGE {
            return None;
        }
        Some(clock_ms + (now - read_at).0 + session.worker_lease.0)
    }

    /// Tells whether the worker has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.info.as_ref().is_some_and(|i| i.leaving_ms.is_some())
    }

    /// Tells whether a token is the one of the session in force.
    pub fn is_current_token(
        &self,
        token: u64,
    ) -> bool {
        self.highest_token == token
    }

    /// Notes that a start is on its way; `false` when the run is known already.
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
                percent: 0,
            };
            let confirmed = None;
            self.runs.insert(
                run,
                TrackedRun {
                    status,
                    confirmed_at: confirmed,
                },
            );
        }
        is_new
    }

    /// Notes that the worker has started a run.
    pub fn confirm_start(
        &mut self,
        run: RunRef,
        now: Millis,
    ) {
        if let Some(booked) = self.runs.get_mut(&run) {
            if booked.status.phase == RunPhase::Starting {
                booked.status.phase = RunPhase::Running;
            }
            booked.confirmed_at = Some(now);
        }
    }

    /// Notes that a run was surely not started.
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

    /// Notes that a run is being stopped or that its start is being undone; `false` for a run that
    /// is not known, which has ended or was never started.
    pub fn begin_stop(
        &mut self,
        run: RunRef,
    ) -> bool {
        match self.runs.get_mut(&run) {
            Some(booked) => {
                booked.status.phase = RunPhase::Stopping;
                booked.confirmed_at = None;
                true
            }
            None => false,
        }
    }

    /// Notes that the worker has acknowledged the stop of a run.
    pub fn confirm_stop(
        &mut self,
        run: RunRef,
        now: Millis,
    ) {
        if let Some(booked) = self.runs.get_mut(&run) {
            booked.confirmed_at = Some(now);
        }
    }

    /// Takes the answer of a look that was sent at `sent` under a token. Returns whether something
    /// has changed besides times and percentages.
    pub fn apply_poll(
        &mut self,
        token: u64,
        sent: Millis,
        now: Millis,
        answer: PollResponse,
    ) -> bool {
        if !self.is_current_token(token) {
            return false;
        }
        let is_first = self.last_poll.is_none_or(|(t, _)| t != token);
        self.last_poll = Some((token, now));
        self.worker_clock = Some((answer.clock_ms, now));
        let before: Vec<(RunRef, RunPhase)> = self.phases();
        let ends_before = self.ends.len();
        let listed: BTreeMap<RunRef, RunStatus> =
            answer.running.into_iter().map(|s| (s.run, s)).collect();
        if is_first {
            // Everything ordered under earlier tokens is fenced from now on, so what is not listed
            // does not run, and stops that were on their way are void.
            self.runs.clear();
        }
        self.runs.retain(|run, booked| {
            listed.contains_key(run) || booked.confirmed_at.is_none_or(|at| at >= sent)
        });
        for (run, status) in listed {
            self.apply_listed_run(run, status, now);
        }
        for end in answer.ended {
            self.runs.remove(&end.run);
            if end.number > self.acknowledged_end {
                self.ends.insert(end.number, end);
            }
        }
        is_first || before != self.phases() || ends_before != self.ends.len()
    }

    /// Tells whether ends wait to be recorded.
    pub fn has_unrecorded_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Returns the report of the session; without a worker until it was looked at under the
    /// session's token.
    pub fn report(
        &self,
        now: Millis,
    ) -> GuardReport {
        let token = self.session.map_or(0, |s| s.token);
        let looked = self.last_poll.filter(|(t, _)| *t == token);
        GuardReport {
            token,
            handled: self.session.map_or(0, |s| s.last_handled),
            clock_ms: now.0,
            highest_token: self.highest_token,
            worker: self.worker_view(looked.map(|(_, at)| now.since(at))),
        }
    }

    fn worker_view(
        &self,
        silent: Option<Duration>,
    ) -> WorkerView {
        let report = silent.and_then(|silent| self.worker_report(silent));
        match report {
            Some(report) => WorkerView::Known(report),
            None if self.worker_ended => WorkerView::Gone,
            None => WorkerView::Unknown,
        }
    }

    /// Tells whether the worker was looked at under the session's token.
    pub fn is_polled(&self) -> bool {
        let token = self.session.map_or(0, |s| s.token);
        self.last_poll.is_some_and(|(t, _)| t == token)
    }

    fn worker_report(
        &self,
        silent: Duration,
    ) -> Option<WorkerReport> {
        let info = self.info.as_ref()?;
        Some(WorkerReport {
            life: self.worker.as_ref()?.life.clone(),
            service: info.service.clone(),
            capacity: info.capacity,
            labels: info.labels.clone(),
            leaving_ms: info.leaving_ms,
            silent_ms: Millis::from(silent).0,
            runs: self.runs.values().map(|b| b.status.clone()).collect(),
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
            Some(booked) => {
                if booked.status.phase == RunPhase::Starting {
                    booked.status.phase = RunPhase::Running;
                    booked.confirmed_at = Some(now);
                }
                booked.status.checkpoint = status.checkpoint;
                booked.status.percent = status.percent;
            }
            None => {
                let confirmed = Some(now);
                self.runs.insert(
                    run,
                    TrackedRun {
                        status,
                        confirmed_at: confirmed,
                    },
                );
            }
        }
    }

    fn phases(&self) -> Vec<(RunRef, RunPhase)> {
        self.runs
            .iter()
            .map(|(r, b)| (*r, b.status.phase))
            .collect()
    }

    fn remove_worker(&mut self) {
        self.worker = None;
        self.info = None;
        self.heartbeat_sequence = 0;
        self.last_poll = None;
        self.worker_clock = None;
        self.refused_since = None;
        self.acknowledged_end = 0;
        self.runs.clear();
        self.ends.clear();
        self.refused_starts.clear();
    }
}
