//! A worker's behaviour as plain data: leases, fences, gangs and ends.

use {
    crate::{
        connection::{EndKind, RunEnd, RunPhase, RunStart, RunStatus, StartRefusal},
        prelude::*,
        process::runs::{PollRequest, PollResponse},
        request::{RunRef, SubtaskId},
    },
    std::collections::BTreeMap,
};

/// The most ends in one answer.
const MAX_LISTED_ENDS: usize = 500;

/// How a run will end, and after how much work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerOutcome {
    /// How it ends unless it is stopped before.
    pub kind: EndKind,
    /// The work that it takes, in milliseconds.
    pub work_ms: u64,
    /// How often it saves its progress, in milliseconds of work; 0 for never.
    pub save_ms: u64,
}

/// A run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelRun {
    /// How it will end.
    pub outcome: WorkerOutcome,
    /// When it started, by the worker's clock in milliseconds.
    pub started_ms: u64,
    /// The work that a checkpoint brought along, in milliseconds.
    pub resumed_ms: u64,
    /// When it will be gone after a stop, by the worker's clock.
    pub stops_at: Option<u64>,
}

/// The end of a run, as an observer sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelEnd {
    /// The run.
    pub run: RunRef,
    /// How it ended.
    pub kind: EndKind,
    /// When, by the worker's clock in milliseconds.
    pub at_ms: u64,
    /// How often the lease had lapsed before.
    pub lapses: u64,
}

/// A start, as an observer sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartObservation {
    /// The run.
    pub run: RunRef,
    /// What it was told to run.
    pub payload: Arc<str>,
    /// The checkpoint that it was to resume from.
    pub checkpoint: Option<Arc<str>>,
}

/// One life of a worker.
#[derive(Debug)]
pub struct WorkerModel {
    /// The highest fencing token that was seen.
    pub fence: u64,
    /// Until when everything may run, by the worker's clock in milliseconds.
    pub lease_until_ms: u64,
    /// What runs.
    pub runs: BTreeMap<RunRef, ModelRun>,
    /// The starts since an observer took them.
    pub starts: Vec<StartObservation>,
    /// The ends since an observer took them.
    pub new_ends: Vec<ModelEnd>,
    /// The highest number of an end that was acknowledged.
    pub noted_end: u64,
    /// How often the lease has lapsed.
    pub lapses: u64,
    is_lapsed: bool,
    max_lease_ms: u64,
    stop_ms: u64,
    ends: BTreeMap<u64, RunEnd>,
    next_end: u64,
    highest_ended: BTreeMap<SubtaskId, u64>,
}

impl WorkerModel {
    /// Creates a worker that runs nothing. Leases are at most `max_lease_ms` long, and a stop takes
    /// `stop_ms`.
    pub fn new(
        max_lease_ms: u64,
        stop_ms: u64,
    ) -> Self {
        Self {
            fence: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            starts: Vec::new(),
            new_ends: Vec::new(),
            noted_end: 0,
            lapses: 0,
            is_lapsed: true,
            max_lease_ms,
            stop_ms,
            ends: BTreeMap::new(),
            next_end: 1,
            highest_ended: BTreeMap::new(),
        }
    }

    /// Lets time pass until `now_ms` by the worker's clock.
    pub fn advance(
        &mut self,
        now_ms: u64,
    ) {
        let mut due: Vec<(u64, RunRef, EndKind)> = Vec::new();
        for (run, state) in &self.runs {
            let left = state.outcome.work_ms.saturating_sub(state.resumed_ms);
            let natural = state.started_ms + left;
            let stopped = state.stops_at.unwrap_or(u64::MAX);
            let end = [
                (natural, state.outcome.kind),
                (stopped, EndKind::Stopped),
                (self.lease_until_ms, EndKind::Lapsed),
            ];
            let (at, kind) = end.into_iter().min_by_key(|(at, _)| *at).unwrap_or(end[0]);
            if at <= now_ms {
                due.push((at, *run, kind));
            }
        }
        due.sort_by_key(|(at, run, _)| (*at, *run));
        for (at, run, kind) in due {
            self.end(run, kind, at);
        }
        if !self.is_lapsed && self.lease_until_ms <= now_ms {
            self.is_lapsed = true;
            self.lapses += 1;
        }
    }

    /// Starts a run until a deadline by the worker's clock.
    ///
    /// # Errors
    /// Why it is not started.
    pub fn start(
        &mut self,
        now_ms: u64,
        token: u64,
        deadline_ms: u64,
        start: &RunStart,
        outcome: WorkerOutcome,
    ) -> Result<(), StartRefusal> {
        self.advance(now_ms);
        self.take_token(token)?;
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
            .highest_ended
            .get(&run.subtask)
            .is_some_and(|h| run.run <= *h);
        if is_old {
            return Err(StartRefusal::Old);
        }
        let resumed = start.checkpoint.as_deref().and_then(|c| c.parse().ok());
        let state = ModelRun {
            outcome,
            started_ms: now_ms,
            resumed_ms: resumed.unwrap_or(0),
            stops_at: None,
        };
        self.runs.insert(run, state);
        self.starts.push(StartObservation {
            run,
            payload: start.payload.clone(),
            checkpoint: start.checkpoint.clone(),
        });
        Ok(())
    }

    /// Stops a run; one that is not there is refused from now on.
    ///
    /// # Errors
    /// [`StartRefusal::Fenced`] when a higher token was seen.
    pub fn stop(
        &mut self,
        now_ms: u64,
        token: u64,
        run: RunRef,
    ) -> Result<(), StartRefusal> {
        self.advance(now_ms);
        self.take_token(token)?;
        let stops_at = now_ms + self.stop_ms;
        match self.runs.get_mut(&run) {
            Some(state) => state.stops_at = Some(state.stops_at.unwrap_or(stops_at)),
            None => {
                let highest = self.highest_ended.entry(run.subtask).or_default();
                *highest = (*highest).max(run.run);
            }
        }
        Ok(())
    }

    /// Looks at what runs and extends the lease.
    ///
    /// # Errors
    /// [`StartRefusal::Fenced`] when a higher token was seen.
    pub fn look(
        &mut self,
        now_ms: u64,
        call: &PollRequest,
    ) -> Result<PollResponse, StartRefusal> {
        self.advance(now_ms);
        self.take_token(call.token)?;
        if let Some(deadline_ms) = call.deadline_ms {
            self.extend_lease(now_ms, deadline_ms);
        }
        self.noted_end = self.noted_end.max(call.acknowledged_end);
        self.ends = self.ends.split_off(&(call.acknowledged_end + 1));
        let running = self.runs.iter().map(|(run, state)| RunStatus {
            run: *run,
            phase: RunPhase::Running,
            checkpoint: saved(state, now_ms),
            progress_percent: worked(state, now_ms) * 100 / state.outcome.work_ms.max(1),
        });
        Ok(PollResponse {
            clock_ms: now_ms,
            born_ms: None,
            running: running.collect(),
            ended: self.ends.values().take(MAX_LISTED_ENDS).cloned().collect(),
        })
    }

    /// Ends a run from outside, as the other members of its gang do.
    pub fn finish(
        &mut self,
        run: RunRef,
        kind: EndKind,
        now_ms: u64,
    ) {
        self.end(run, kind, now_ms);
    }

    fn take_token(
        &mut self,
        token: u64,
    ) -> Result<(), StartRefusal> {
        if token < self.fence {
            return Err(StartRefusal::Fenced);
        }
        self.fence = token;
        Ok(())
    }

    fn extend_lease(
        &mut self,
        now_ms: u64,
        deadline_ms: u64,
    ) {
        let longest = now_ms + self.max_lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest));
        self.is_lapsed = self.lease_until_ms <= now_ms;
    }

    fn end(
        &mut self,
        run: RunRef,
        kind: EndKind,
        at_ms: u64,
    ) {
        let Some(state) = self.runs.remove(&run) else {
            return;
        };
        let number = self.next_end;
        self.next_end += 1;
        let highest = self.highest_ended.entry(run.subtask).or_default();
        *highest = (*highest).max(run.run);
        let checkpoint = saved(&state, at_ms);
        let end = RunEnd {
            number,
            run,
            kind,
            checkpoint,
        };
        self.ends.insert(number, end);
        let lapses = self.lapses;
        self.new_ends.push(ModelEnd {
            run,
            kind,
            at_ms,
            lapses,
        });
    }
}

fn worked(
    run: &ModelRun,
    now_ms: u64,
) -> u64 {
    run.resumed_ms + now_ms.saturating_sub(run.started_ms)
}

fn saved(
    run: &ModelRun,
    now_ms: u64,
) -> Option<Arc<str>> {
    let every = run.outcome.save_ms;
    let saved = worked(run, now_ms).checked_div(every)? * every;
    (saved > 0).then(|| saved.to_string().into())
}
