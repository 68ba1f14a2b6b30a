//! The behaviour of a worker as plain data: runs and their ends, the lease and the fencing token.

use {
    crate::{
        connection::{EndKind, RunEnd, RunPhase, RunStart, RunStatus, StartRefusal},
        platform::http_run_worker::MAX_LISTED_ENDS,
        prelude::*,
        process::runs::{PollRequest, PollResponse},
        request::{RunRef, SubtaskId},
    },
    std::collections::BTreeMap,
};

/// The end of a run that was decided at its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedOutcome {
    /// The kind of end, unless the run is stopped or its lease expires before.
    pub kind: EndKind,
    /// The work until the end, in milliseconds.
    pub work_ms: u64,
    /// The interval of its checkpoints, in milliseconds of work; 0 for no checkpoints.
    pub save_interval_ms: u64,
}

/// A run on the worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelRun {
    /// The planned end.
    pub outcome: PlannedOutcome,
    /// When the run started, in milliseconds by the worker's clock.
    pub started_ms: u64,
    /// The work that the checkpoint contained from which the run resumed, in milliseconds.
    pub resumed_work_ms: u64,
    /// When the run ends after a stop, in milliseconds by the worker's clock; `None` without a
    /// stop.
    pub stops_at_ms: Option<u64>,
}

/// The end of a run, as tests observe it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelEnd {
    /// The run.
    pub run: RunRef,
    /// The kind of end.
    pub kind: EndKind,
    /// When the run ended, in milliseconds by the worker's clock.
    pub ended_at_ms: u64,
    /// How often the lease had expired before.
    pub lease_expiries: u64,
}

/// The start of a run, as tests observe it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartObservation {
    /// The run.
    pub run: RunRef,
    /// The payload.
    pub payload: Arc<str>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
}

/// One worker incarnation.
#[derive(Debug)]
pub struct WorkerModel {
    /// The highest fencing token received.
    pub highest_token: u64,
    /// When the lease of all runs expires, in milliseconds by the worker's clock.
    pub lease_expires_at_ms: u64,
    /// The current runs.
    pub runs: BTreeMap<RunRef, ModelRun>,
    /// The starts since a test last removed them.
    pub starts: Vec<StartObservation>,
    /// The ends since a test last removed them.
    pub new_ends: Vec<ModelEnd>,
    /// The highest acknowledged number of an end.
    pub acknowledged_end: u64,
    /// How often the lease has expired.
    pub lease_expiries: u64,
    is_lease_expired: bool,
    max_lease_ms: u64,
    stop_duration_ms: u64,
    ends: BTreeMap<u64, RunEnd>,
    next_end_number: u64,
    highest_ended_runs: BTreeMap<SubtaskId, u64>,
}

impl WorkerModel {
    /// Creates a worker without runs. A lease lasts at most `max_lease_ms`, and a stop takes
    /// `stop_duration_ms`, both in milliseconds.
    pub fn new(
        max_lease_ms: u64,
        stop_duration_ms: u64,
    ) -> Self {
        Self {
            highest_token: 0,
            lease_expires_at_ms: 0,
            runs: BTreeMap::new(),
            starts: Vec::new(),
            new_ends: Vec::new(),
            acknowledged_end: 0,
            lease_expiries: 0,
            is_lease_expired: true,
            max_lease_ms,
            stop_duration_ms,
            ends: BTreeMap::new(),
            next_end_number: 1,
            highest_ended_runs: BTreeMap::new(),
        }
    }

    /// Advances the worker's clock to `now_ms` and ends the runs that are due.
    pub fn advance(
        &mut self,
        now_ms: u64,
    ) {
        let mut due: Vec<(u64, RunRef, EndKind)> = Vec::new();
        for (run, state) in &self.runs {
            let remaining_ms = state.outcome.work_ms.saturating_sub(state.resumed_work_ms);
            let finishes_at_ms = state.started_ms + remaining_ms;
            let stops_at_ms = state.stops_at_ms.unwrap_or(u64::MAX);
            let ends = [
                (finishes_at_ms, state.outcome.kind),
                (stops_at_ms, EndKind::Stopped),
                (self.lease_expires_at_ms, EndKind::Lapsed),
            ];
            let (at_ms, kind) = ends
                .into_iter()
                .min_by_key(|(at_ms, _)| *at_ms)
                .unwrap_or(ends[0]);
            if at_ms <= now_ms {
                due.push((at_ms, *run, kind));
            }
        }
        due.sort_by_key(|(at_ms, run, _)| (*at_ms, *run));
        for (at_ms, run, kind) in due {
            self.record_end(run, kind, at_ms);
        }
        if !self.is_lease_expired && self.lease_expires_at_ms <= now_ms {
            self.is_lease_expired = true;
            self.lease_expiries += 1;
        }
    }

    /// Starts a run and extends the lease up to `deadline_ms` by the worker's clock. A repeated
    /// start only extends the lease.
    ///
    /// # Errors
    /// Returns [`StartRefusal::Fenced`] if a higher token was received, [`StartRefusal::Late`] if
    /// the deadline has passed, and [`StartRefusal::Old`] if this or a later run of the subtask has
    /// ended or was stopped.
    pub fn start(
        &mut self,
        now_ms: u64,
        token: u64,
        deadline_ms: u64,
        start: &RunStart,
        outcome: PlannedOutcome,
    ) -> Result<(), StartRefusal> {
        self.advance(now_ms);
        self.check_token(token)?;
        let run = start.run;
        if self.runs.contains_key(&run) {
            self.extend_lease(now_ms, deadline_ms);
            return Ok(());
        }
        if deadline_ms <= now_ms {
            return Err(StartRefusal::Late);
        }
        self.extend_lease(now_ms, deadline_ms);
        let is_old = self
            .highest_ended_runs
            .get(&run.subtask)
            .is_some_and(|h| run.run <= *h);
        if is_old {
            return Err(StartRefusal::Old);
        }
        let resumed_work_ms = start.checkpoint.as_deref().and_then(|c| c.parse().ok());
        let state = ModelRun {
            outcome,
            started_ms: now_ms,
            resumed_work_ms: resumed_work_ms.unwrap_or(0),
            stops_at_ms: None,
        };
        self.runs.insert(run, state);
        self.starts.push(StartObservation {
            run,
            payload: start.payload.clone(),
            checkpoint: start.checkpoint.clone(),
        });
        Ok(())
    }

    /// Stops a run. A run that has not started is refused from now on.
    ///
    /// # Errors
    /// Returns [`StartRefusal::Fenced`] if a higher token was received.
    pub fn stop(
        &mut self,
        now_ms: u64,
        token: u64,
        run: RunRef,
    ) -> Result<(), StartRefusal> {
        self.advance(now_ms);
        self.check_token(token)?;
        let stops_at_ms = now_ms + self.stop_duration_ms;
        match self.runs.get_mut(&run) {
            Some(state) => state.stops_at_ms = Some(state.stops_at_ms.unwrap_or(stops_at_ms)),
            None => {
                let highest = self.highest_ended_runs.entry(run.subtask).or_default();
                *highest = (*highest).max(run.run);
            }
        }
        Ok(())
    }

    /// Lists the runs and the unacknowledged ends, and extends the lease.
    ///
    /// # Errors
    /// Returns [`StartRefusal::Fenced`] if a higher token was received.
    pub fn poll(
        &mut self,
        now_ms: u64,
        call: &PollRequest,
    ) -> Result<PollResponse, StartRefusal> {
        self.advance(now_ms);
        self.check_token(call.token)?;
        if let Some(deadline_ms) = call.deadline_ms {
            self.extend_lease(now_ms, deadline_ms);
        }
        self.acknowledged_end = self.acknowledged_end.max(call.acknowledged_end);
        self.ends = self.ends.split_off(&(call.acknowledged_end + 1));
        let running = self.runs.iter().map(|(run, state)| RunStatus {
            run: *run,
            phase: RunPhase::Running,
            checkpoint: saved_checkpoint(state, now_ms),
            progress_percent: work_done_ms(state, now_ms) * 100 / state.outcome.work_ms.max(1),
        });
        Ok(PollResponse {
            clock_ms: now_ms,
            born_ms: None,
            running: running.collect(),
            ended: self.ends.values().take(MAX_LISTED_ENDS).cloned().collect(),
            is_complete: self.ends.len() < MAX_LISTED_ENDS,
        })
    }

    /// Ends a run for a reason outside this worker, such as the end of another member of its gang.
    pub fn finish(
        &mut self,
        run: RunRef,
        kind: EndKind,
        now_ms: u64,
    ) {
        self.record_end(run, kind, now_ms);
    }

    fn check_token(
        &mut self,
        token: u64,
    ) -> Result<(), StartRefusal> {
        if token < self.highest_token {
            return Err(StartRefusal::Fenced);
        }
        self.highest_token = token;
        Ok(())
    }

    fn extend_lease(
        &mut self,
        now_ms: u64,
        deadline_ms: u64,
    ) {
        let max_expiry_ms = now_ms + self.max_lease_ms;
        self.lease_expires_at_ms = self.lease_expires_at_ms.max(deadline_ms.min(max_expiry_ms));
        self.is_lease_expired = self.lease_expires_at_ms <= now_ms;
    }

    fn record_end(
        &mut self,
        run: RunRef,
        kind: EndKind,
        ended_at_ms: u64,
    ) {
        let Some(state) = self.runs.remove(&run) else {
            return;
        };
        let number = self.next_end_number;
        self.next_end_number += 1;
        let highest = self.highest_ended_runs.entry(run.subtask).or_default();
        *highest = (*highest).max(run.run);
        let checkpoint = saved_checkpoint(&state, ended_at_ms);
        let end = RunEnd {
            number,
            run,
            kind,
            checkpoint,
        };
        self.ends.insert(number, end);
        let lease_expiries = self.lease_expiries;
        self.new_ends.push(ModelEnd {
            run,
            kind,
            ended_at_ms,
            lease_expiries,
        });
    }
}

fn work_done_ms(
    run: &ModelRun,
    now_ms: u64,
) -> u64 {
    run.resumed_work_ms + now_ms.saturating_sub(run.started_ms)
}

fn saved_checkpoint(
    run: &ModelRun,
    now_ms: u64,
) -> Option<Arc<str>> {
    let interval_ms = run.outcome.save_interval_ms;
    let saved_ms = work_done_ms(run, now_ms).checked_div(interval_ms)? * interval_ms;
    (saved_ms > 0).then(|| saved_ms.to_string().into())
}
