//! Runs the tasks of one piece from their start to their end.

use {
    super::{
        GangKeeper, Measure, Overrun, Piece, Stage,
        bounds::{
            BEAT_INTERVAL, BEAT_TIMEOUT, CALL_RETRY, CHECKPOINT_INTERVAL, CHECKPOINT_TIMEOUT,
            END_REPORT, GANG_LEASE, QUARANTINE, TASK_LEASE, WORKER_TIMEOUT,
        },
        overrun::THROTTLED_PERCENT,
    },
    crate::{
        connection::{
            Beat, Eviction, GangReply, GangRequest, GuardReply, PieceEnd, PieceState, StartCall,
            StopCause,
        },
        prelude::*,
        process::{
            clock::with_timeout,
            platform::{TaskEnd, TaskId, TaskStart, TaskState, WorkerError},
        },
    },
    futures_util::{
        StreamExt,
        future::{Either, join_all, select},
        pin_mut,
        stream::FuturesUnordered,
    },
    std::cell::Cell,
};

/// One task of the piece.
struct TaskRun {
    id: TaskId,
    accelerators: AcceleratorSet,
    overrun: Overrun,
    end: RefCell<Option<TaskEnd>>,
}

/// What one round of renewals brought.
enum Round {
    /// Tasks run, or their worker did not answer yet.
    Running,
    /// The piece is over.
    Over(PieceEnd),
}

/// The task of one started piece.
pub(super) struct PieceRun {
    keeper: Rc<GangKeeper>,
    piece: Rc<Piece>,
    start: StartCall,
    tasks: Vec<TaskRun>,
    lease_until: Cell<Millis>,
    worker_seen: Cell<Millis>,
    checkpointed: Cell<Millis>,
    progress_ms: Cell<u64>,
    /// Whether a task may run though its start or stop brought no answer.
    uncertain: Cell<bool>,
}

impl PieceRun {
    /// Creates the run of a piece that was just started.
    pub(super) fn new(
        keeper: Rc<GangKeeper>,
        piece: Rc<Piece>,
        start: StartCall,
    ) -> Self {
        let now = keeper.clock.now();
        let gang = piece.gang();
        let work = &piece.call.work;
        let tasks = piece
            .members()
            .into_iter()
            .map(|(member, accelerators)| TaskRun {
                id: gang.task(member),
                accelerators,
                overrun: Overrun::new(now, work.declared_ms),
                end: RefCell::new(None),
            });
        Self {
            tasks: tasks.collect(),
            progress_ms: Cell::new(work.progress_ms),
            keeper,
            piece,
            start,
            lease_until: Cell::new(now + Millis::from(GANG_LEASE)),
            worker_seen: Cell::new(now),
            checkpointed: Cell::new(now),
            uncertain: Cell::new(false),
        }
    }

    /// Runs the piece to its end, gives its accelerators back and tells the lead guard.
    pub(super) async fn run(self) {
        let end = match self.start_tasks().await {
            Ok(()) => {
                self.piece.set_stage(Stage::Running);
                self.watch_tasks().await
            }
            Err(end) => end,
        };
        let end = self.stop_tasks(end).await;
        tracing::info!(gang = %self.piece.gang(), ?end, "a piece of a gang has ended");
        let quarantine = self.uncertain.get().then_some(QUARANTINE);
        self.keeper.piece_down(&self.piece, end.clone(), quarantine);
        self.report_end(end).await;
        self.keeper.forget_piece(self.piece.gang());
    }

    /// Starts every task, or tells how the piece ended.
    async fn start_tasks(&self) -> Result<(), PieceEnd> {
        let starts = self.tasks.iter().map(|t| self.start_task(t));
        let results = join_all(starts).await;
        if results.into_iter().all(|started| started) {
            return Ok(());
        }
        Err(self.stopped(StopCause::WorkerLost))
    }

    async fn start_task(
        &self,
        task: &TaskRun,
    ) -> bool {
        let work = &self.piece.call.work;
        let call = TaskStart {
            id: task.id,
            kind: work.kind.clone(),
            accelerators: task.accelerators,
            progress_ms: work.progress_ms,
            payload: work.payload.clone(),
            lease_ms: Millis::from(TASK_LEASE).0,
        };
        let starting = self.keeper.worker.start(call);
        match with_timeout(&*self.keeper.clock, BEAT_TIMEOUT, starting).await {
            Some(Ok(())) => return true,
            Some(Err(WorkerError::NotReached | WorkerError::Refused(_))) => {}
            Some(Err(WorkerError::AnswerLost(_) | WorkerError::AnswerTooLarge)) | None => {
                self.uncertain.set(true);
            }
        }
        tracing::warn!(task = %task.id, "a task was not started");
        false
    }

    /// Renews the leases at the lead guard and at the worker until the piece is over.
    async fn watch_tasks(&self) -> PieceEnd {
        loop {
            let stopped = self.piece.listen();
            if let Some(cause) = self.piece.stop_cause() {
                return self.stopped(cause);
            }
            let round = self.renew_leases();
            pin_mut!(round);
            match select(round, stopped).await {
                Either::Left((Round::Over(end), _)) => return end,
                Either::Left((Round::Running, _)) | Either::Right(_) => {}
            }
        }
    }

    /// Renews the piece's lease once, and then those of its tasks.
    async fn renew_leases(&self) -> Round {
        if let Some(cause) = self.beat().await {
            return Round::Over(self.stopped(cause));
        }
        let now = self.keeper.clock.now();
        if now >= self.lease_until.get() {
            return Round::Over(self.stopped(StopCause::LeaseLapsed));
        }
        self.checkpoint_when_due(now).await;
        let wait = self.lease_until.get().since(now).min(BEAT_INTERVAL);
        let round = self.renew_tasks(wait).await;
        let early = wait.saturating_sub(self.keeper.clock.now().since(now));
        if matches!(round, Round::Running) && !early.is_zero() {
            self.keeper.clock.sleep(early.min(CALL_RETRY)).await;
        }
        round
    }

    /// Renews the piece's lease with the lead guard; returns why the piece has to stop.
    async fn beat(&self) -> Option<StopCause> {
        let sent = self.keeper.clock.now();
        let state = PieceState::Running {
            progress_ms: self.progress_ms.get(),
        };
        match self.send_beat(state).await {
            Some(GuardReply::Gang(GangReply::Done)) => {
                self.lease_until.set(sent + Millis::from(GANG_LEASE));
                None
            }
            Some(GuardReply::Refused(_)) => Some(StopCause::WithGang),
            _ => {
                self.keeper.clock.sleep(CALL_RETRY).await;
                None
            }
        }
    }

    async fn send_beat(
        &self,
        state: PieceState,
    ) -> Option<GuardReply> {
        let beat = GangRequest::Beat(Beat {
            gang: self.piece.gang(),
            piece: self.start.piece,
            state,
        });
        let call = self.keeper.call(self.start.lead, beat);
        with_timeout(&*self.keeper.clock, BEAT_TIMEOUT, call)
            .await?
            .ok()
    }

    /// Renews the leases of the open tasks, until the first of them ends or the wait is over.
    async fn renew_tasks(
        &self,
        wait: Duration,
    ) -> Round {
        let open = self.tasks.iter().filter(|t| t.end.borrow().is_none());
        let mut renewals: FuturesUnordered<_> = open.map(|t| self.renew_task(t, wait)).collect();
        while let Some(end) = renewals.next().await {
            if let Some(end) = end {
                return Round::Over(end);
            }
            if let Some(result) = self.result() {
                return Round::Over(PieceEnd::Finished(result));
            }
        }
        if self.keeper.clock.now().since(self.worker_seen.get()) >= TASK_LEASE {
            return Round::Over(self.stopped(StopCause::WorkerLost));
        }
        Round::Running
    }

    /// Renews one task's lease; returns the piece's end when the task brings it.
    async fn renew_task(
        &self,
        task: &TaskRun,
        wait: Duration,
    ) -> Option<PieceEnd> {
        let renewal = self.keeper.worker.renew(task.id, wait);
        let renewal = with_timeout(&*self.keeper.clock, wait + WORKER_TIMEOUT, renewal).await;
        let now = self.keeper.clock.now();
        match renewal {
            Some(Ok(TaskState::Running { usage_percent })) => {
                self.worker_seen.set(now);
                self.limit(task, usage_percent).await
            }
            Some(Ok(TaskState::Ended(end))) => self.note_end(task, end),
            Some(Ok(TaskState::Unknown)) => Some(self.stopped(StopCause::WorkerLost)),
            Some(Err(_)) => {
                self.keeper.clock.sleep(CALL_RETRY).await;
                None
            }
            None => None,
        }
    }

    fn note_end(
        &self,
        task: &TaskRun,
        end: TaskEnd,
    ) -> Option<PieceEnd> {
        self.worker_seen.set(self.keeper.clock.now());
        *task.end.borrow_mut() = Some(end.clone());
        match end {
            TaskEnd::Finished(_) => None,
            TaskEnd::Failed(reason) => Some(PieceEnd::Failed(reason)),
            TaskEnd::Stopped { .. } => Some(self.stopped(StopCause::WorkerLost)),
        }
    }

    /// Throttles or stops a task that exceeds what its job declares.
    async fn limit(
        &self,
        task: &TaskRun,
        usage_percent: u32,
    ) -> Option<PieceEnd> {
        match task.overrun.judge(self.keeper.clock.now(), usage_percent) {
            Measure::None => None,
            Measure::Throttle => {
                self.keeper.metrics.gangs.throttled_tasks.inc();
                tracing::warn!(task = %task.id, usage_percent, "a task is throttled");
                let throttling = self.keeper.worker.throttle(task.id, THROTTLED_PERCENT);
                with_timeout(&*self.keeper.clock, WORKER_TIMEOUT, throttling).await;
                None
            }
            Measure::Stop(reason) => {
                self.keeper.metrics.gangs.overrun_stops.inc();
                tracing::warn!(task = %task.id, reason, "a task is stopped");
                Some(PieceEnd::Failed(reason.to_owned()))
            }
        }
    }

    /// Returns the result of the first member once all tasks have finished.
    fn result(&self) -> Option<Bytes> {
        let mut result = None;
        for task in &self.tasks {
            match &*task.end.borrow() {
                Some(TaskEnd::Finished(bytes)) => result = result.or(Some(bytes.clone())),
                _ => return None,
            }
        }
        result
    }

    async fn checkpoint_when_due(
        &self,
        now: Millis,
    ) {
        let due = now.since(self.checkpointed.get()) >= CHECKPOINT_INTERVAL;
        if due && self.piece.call.eviction == Eviction::Checkpoint {
            self.checkpoint().await;
        }
    }

    /// Checkpoints all open tasks and notes the least progress, if every checkpoint came about.
    async fn checkpoint(&self) {
        self.checkpointed.set(self.keeper.clock.now());
        let open = self.tasks.iter().filter(|t| t.end.borrow().is_none());
        let checkpoints = open.map(|t| self.keeper.worker.checkpoint(t.id));
        let all = join_all(checkpoints);
        let done = with_timeout(&*self.keeper.clock, CHECKPOINT_TIMEOUT, all).await;
        let done: Option<Vec<u64>> = done.and_then(|all| all.into_iter().map(Result::ok).collect());
        if let Some(least) = done.and_then(|all| all.into_iter().min()) {
            self.progress_ms.set(least.max(self.progress_ms.get()));
        }
    }

    /// Stops the open tasks, after a checkpoint when the work is to go on later.
    async fn stop_tasks(
        &self,
        end: PieceEnd,
    ) -> PieceEnd {
        let PieceEnd::Stopped { cause, .. } = end else {
            self.stop_open_tasks().await;
            return end;
        };
        let goes_on = !matches!(cause, StopCause::Released | StopCause::WorkerLost);
        if goes_on && self.piece.call.eviction == Eviction::Checkpoint {
            self.checkpoint().await;
        }
        self.stop_open_tasks().await;
        self.stopped(cause)
    }

    async fn stop_open_tasks(&self) {
        let open = self.tasks.iter().filter(|t| t.end.borrow().is_none());
        let stops = open.map(|t| {
            let stopping = self.keeper.worker.stop(t.id);
            with_timeout(&*self.keeper.clock, WORKER_TIMEOUT, stopping)
        });
        let stopped = join_all(stops).await;
        if !stopped.iter().all(|s| matches!(s, Some(Ok(())))) {
            self.uncertain.set(true);
        }
    }

    fn stopped(
        &self,
        cause: StopCause,
    ) -> PieceEnd {
        PieceEnd::Stopped {
            cause,
            progress_ms: self.progress_ms.get(),
        }
    }

    /// Tells the lead guard how the piece ended, until it answers.
    async fn report_end(
        &self,
        end: PieceEnd,
    ) {
        let until = self.keeper.clock.now() + Millis::from(END_REPORT);
        while self.keeper.clock.now() < until {
            if self
                .send_beat(PieceState::Ended(end.clone()))
                .await
                .is_some()
            {
                return;
            }
            self.keeper.clock.sleep(CALL_RETRY).await;
        }
    }
}
