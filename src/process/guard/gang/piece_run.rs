//! The run of the tasks of one piece, from their start to their end.

use {
    super::{
        GangManager, OverrunAction, OverrunMonitor, Piece, PieceStage,
        bounds::{
            CALL_RETRY_DELAY, CHECKPOINT_INTERVAL, CHECKPOINT_TIMEOUT, END_REPORT_TIMEOUT,
            HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, PIECE_LEASE, QUARANTINE, TASK_LEASE,
            WORKER_CALL_TIMEOUT,
        },
        overrun_monitor::THROTTLED_PERCENT,
    },
    crate::{
        connection::{
            EvictionMode, GangReply, GangRequest, GuardReply, PieceEnd, PieceHeartbeat, PieceState,
            StartCall, StopCause,
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
    overrun: OverrunMonitor,
    end: RefCell<Option<TaskEnd>>,
}

/// The outcome of one round of lease renewals.
enum RoundOutcome {
    /// Tasks run, or the worker has not answered yet.
    Running,
    /// The piece has ended.
    Ended(PieceEnd),
}

/// The run of one started piece.
pub(super) struct PieceRun {
    manager: Rc<GangManager>,
    piece: Rc<Piece>,
    start: StartCall,
    tasks: Vec<TaskRun>,
    lease_expires_at: Cell<Millis>,
    worker_answered_at: Cell<Millis>,
    checkpointed_at: Cell<Millis>,
    progress_ms: Cell<u64>,
    /// Whether a task may still run because its start or stop was not confirmed.
    may_still_run: Cell<bool>,
}

impl PieceRun {
    /// Creates the run of a piece that was just started.
    pub(super) fn new(
        manager: Rc<GangManager>,
        piece: Rc<Piece>,
        start: StartCall,
    ) -> Self {
        let now = manager.clock.now();
        let gang = piece.gang();
        let work = &piece.reservation.work;
        let tasks = piece
            .members()
            .into_iter()
            .map(|(member, accelerators)| TaskRun {
                id: gang.task(member),
                accelerators,
                overrun: OverrunMonitor::new(now, work.declared_run_ms),
                end: RefCell::new(None),
            });
        Self {
            tasks: tasks.collect(),
            progress_ms: Cell::new(work.progress_ms),
            manager,
            piece,
            start,
            lease_expires_at: Cell::new(now + Millis::from(PIECE_LEASE)),
            worker_answered_at: Cell::new(now),
            checkpointed_at: Cell::new(now),
            may_still_run: Cell::new(false),
        }
    }

    /// Runs the piece to its end, releases its accelerators and reports the end to the leader.
    pub(super) async fn run(self) {
        let end = match self.start_tasks().await {
            Ok(()) => {
                self.piece.set_stage(PieceStage::Running);
                self.watch_tasks().await
            }
            Err(end) => end,
        };
        let end = self.stop_tasks(end).await;
        tracing::info!(gang = %self.piece.gang(), ?end, "gang piece ended");
        let quarantine = self.may_still_run.get().then_some(QUARANTINE);
        self.manager.end_piece(&self.piece, end.clone(), quarantine);
        self.report_end(end).await;
        self.manager.remove_piece(self.piece.gang());
    }

    /// Starts all tasks; the error is the piece's end when a task could not be started.
    async fn start_tasks(&self) -> Result<(), PieceEnd> {
        let starts = self.tasks.iter().map(|t| self.start_task(t));
        let results = join_all(starts).await;
        if results.into_iter().all(|started| started) {
            return Ok(());
        }
        Err(self.stopped_end(StopCause::WorkerLost))
    }

    async fn start_task(
        &self,
        task: &TaskRun,
    ) -> bool {
        let work = &self.piece.reservation.work;
        let call = TaskStart {
            id: task.id,
            kind: work.kind.clone(),
            accelerators: task.accelerators,
            progress_ms: work.progress_ms,
            payload: work.payload.clone(),
            lease_ms: Millis::from(TASK_LEASE).0,
        };
        let starting = self.manager.worker.start(call);
        match with_timeout(&*self.manager.clock, HEARTBEAT_TIMEOUT, starting).await {
            Some(Ok(())) => return true,
            Some(Err(WorkerError::NotReached | WorkerError::Refused(_))) => {}
            Some(Err(WorkerError::AnswerLost(_) | WorkerError::AnswerTooLarge)) | None => {
                self.may_still_run.set(true);
            }
        }
        tracing::warn!(task = %task.id, "task could not be started");
        false
    }

    /// Renews the leases with the leader and at the worker until the piece ends.
    async fn watch_tasks(&self) -> PieceEnd {
        loop {
            let stopped = self.piece.listen();
            if let Some(cause) = self.piece.stop_cause() {
                return self.stopped_end(cause);
            }
            let round = self.renew_leases();
            pin_mut!(round);
            match select(round, stopped).await {
                Either::Left((RoundOutcome::Ended(end), _)) => return end,
                Either::Left((RoundOutcome::Running, _)) | Either::Right(_) => {}
            }
        }
    }

    /// Renews the piece's lease once, and then the leases of its tasks.
    async fn renew_leases(&self) -> RoundOutcome {
        if let Some(cause) = self.renew_piece_lease().await {
            return RoundOutcome::Ended(self.stopped_end(cause));
        }
        let now = self.manager.clock.now();
        if now >= self.lease_expires_at.get() {
            return RoundOutcome::Ended(self.stopped_end(StopCause::LeaseLapsed));
        }
        self.checkpoint_when_due(now).await;
        let wait = self
            .lease_expires_at
            .get()
            .since(now)
            .min(HEARTBEAT_INTERVAL);
        let round = self.renew_tasks(wait).await;
        let remaining = wait.saturating_sub(self.manager.clock.now().since(now));
        if matches!(round, RoundOutcome::Running) && !remaining.is_zero() {
            self.manager
                .clock
                .sleep(remaining.min(CALL_RETRY_DELAY))
                .await;
        }
        round
    }

    /// Renews the piece's lease with the leader; returns a cause when the piece has to stop.
    async fn renew_piece_lease(&self) -> Option<StopCause> {
        let sent = self.manager.clock.now();
        let state = PieceState::Running {
            progress_ms: self.progress_ms.get(),
        };
        match self.send_heartbeat(state).await {
            Some(GuardReply::Gang(GangReply::Done)) => {
                self.lease_expires_at.set(sent + Millis::from(PIECE_LEASE));
                None
            }
            Some(GuardReply::Refused(_)) => Some(StopCause::WithGang),
            _ => {
                self.manager.clock.sleep(CALL_RETRY_DELAY).await;
                None
            }
        }
    }

    async fn send_heartbeat(
        &self,
        state: PieceState,
    ) -> Option<GuardReply> {
        let heartbeat = GangRequest::Heartbeat(PieceHeartbeat {
            gang: self.piece.gang(),
            piece: self.start.piece,
            state,
        });
        let call = self.manager.call(self.start.leader_address, heartbeat);
        with_timeout(&*self.manager.clock, HEARTBEAT_TIMEOUT, call)
            .await?
            .ok()
    }

    /// Renews the leases of the unfinished tasks, until a task ends the piece, all tasks have
    /// finished or the wait is over.
    async fn renew_tasks(
        &self,
        wait: Duration,
    ) -> RoundOutcome {
        let unfinished = self.tasks.iter().filter(|t| t.end.borrow().is_none());
        let mut renewals: FuturesUnordered<_> =
            unfinished.map(|t| self.renew_task(t, wait)).collect();
        while let Some(end) = renewals.next().await {
            if let Some(end) = end {
                return RoundOutcome::Ended(end);
            }
            if let Some(result) = self.result() {
                return RoundOutcome::Ended(PieceEnd::Finished(result));
            }
        }
        if self
            .manager
            .clock
            .now()
            .since(self.worker_answered_at.get())
            >= TASK_LEASE
        {
            return RoundOutcome::Ended(self.stopped_end(StopCause::WorkerLost));
        }
        RoundOutcome::Running
    }

    /// Renews one task's lease; returns the piece's end if the task's state causes it.
    async fn renew_task(
        &self,
        task: &TaskRun,
        wait: Duration,
    ) -> Option<PieceEnd> {
        let renewal = self.manager.worker.renew(task.id, wait);
        let renewal = with_timeout(&*self.manager.clock, wait + WORKER_CALL_TIMEOUT, renewal).await;
        let now = self.manager.clock.now();
        match renewal {
            Some(Ok(TaskState::Running { usage_percent })) => {
                self.worker_answered_at.set(now);
                self.enforce_limits(task, usage_percent).await
            }
            Some(Ok(TaskState::Ended(end))) => self.record_end(task, end),
            Some(Ok(TaskState::Unknown)) => Some(self.stopped_end(StopCause::WorkerLost)),
            Some(Err(_)) => {
                self.manager.clock.sleep(CALL_RETRY_DELAY).await;
                None
            }
            None => None,
        }
    }

    fn record_end(
        &self,
        task: &TaskRun,
        end: TaskEnd,
    ) -> Option<PieceEnd> {
        self.worker_answered_at.set(self.manager.clock.now());
        *task.end.borrow_mut() = Some(end.clone());
        match end {
            TaskEnd::Finished(_) => None,
            TaskEnd::Failed(reason) => Some(PieceEnd::Failed(reason)),
            TaskEnd::Stopped { .. } => Some(self.stopped_end(StopCause::WorkerLost)),
        }
    }

    /// Throttles a task that exceeds what its job declares; returns the piece's end when the task
    /// has to be stopped.
    async fn enforce_limits(
        &self,
        task: &TaskRun,
        usage_percent: u32,
    ) -> Option<PieceEnd> {
        match task.overrun.check(self.manager.clock.now(), usage_percent) {
            OverrunAction::None => None,
            OverrunAction::Throttle => {
                self.manager.metrics.gangs.throttled_tasks.inc();
                tracing::warn!(task = %task.id, usage_percent, "throttling task over its limits");
                let throttling = self.manager.worker.throttle(task.id, THROTTLED_PERCENT);
                with_timeout(&*self.manager.clock, WORKER_CALL_TIMEOUT, throttling).await;
                None
            }
            OverrunAction::Stop(reason) => {
                self.manager.metrics.gangs.overrun_stops.inc();
                tracing::warn!(task = %task.id, reason, "stopping task over its limits");
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
        let due = now.since(self.checkpointed_at.get()) >= CHECKPOINT_INTERVAL;
        if due && self.piece.reservation.eviction == EvictionMode::Checkpoint {
            self.checkpoint().await;
        }
    }

    /// Checkpoints all unfinished tasks and records the least progress if every checkpoint succeeds
    /// in time.
    async fn checkpoint(&self) {
        self.checkpointed_at.set(self.manager.clock.now());
        let unfinished = self.tasks.iter().filter(|t| t.end.borrow().is_none());
        let checkpoints = unfinished.map(|t| self.manager.worker.checkpoint(t.id));
        let all = join_all(checkpoints);
        let done = with_timeout(&*self.manager.clock, CHECKPOINT_TIMEOUT, all).await;
        let done: Option<Vec<u64>> = done.and_then(|all| all.into_iter().map(Result::ok).collect());
        if let Some(least) = done.and_then(|all| all.into_iter().min()) {
            self.progress_ms.set(least.max(self.progress_ms.get()));
        }
    }

    /// Stops the unfinished tasks, after a checkpoint if the work can resume from it later.
    async fn stop_tasks(
        &self,
        end: PieceEnd,
    ) -> PieceEnd {
        let PieceEnd::Stopped { cause, .. } = end else {
            self.stop_unfinished_tasks().await;
            return end;
        };
        let can_resume = !matches!(cause, StopCause::Released | StopCause::WorkerLost);
        if can_resume && self.piece.reservation.eviction == EvictionMode::Checkpoint {
            self.checkpoint().await;
        }
        self.stop_unfinished_tasks().await;
        self.stopped_end(cause)
    }

    async fn stop_unfinished_tasks(&self) {
        let unfinished = self.tasks.iter().filter(|t| t.end.borrow().is_none());
        let stops = unfinished.map(|t| {
            let stopping = self.manager.worker.stop(t.id);
            with_timeout(&*self.manager.clock, WORKER_CALL_TIMEOUT, stopping)
        });
        let stopped = join_all(stops).await;
        if !stopped.iter().all(|s| matches!(s, Some(Ok(())))) {
            self.may_still_run.set(true);
        }
    }

    fn stopped_end(
        &self,
        cause: StopCause,
    ) -> PieceEnd {
        PieceEnd::Stopped {
            cause,
            progress_ms: self.progress_ms.get(),
        }
    }

    /// Reports the piece's end to the leader until it answers, for [`END_REPORT_TIMEOUT`] at most.
    async fn report_end(
        &self,
        end: PieceEnd,
    ) {
        let until = self.manager.clock.now() + Millis::from(END_REPORT_TIMEOUT);
        while self.manager.clock.now() < until {
            if self
                .send_heartbeat(PieceState::Ended(end.clone()))
                .await
                .is_some()
            {
                return;
            }
            self.manager.clock.sleep(CALL_RETRY_DELAY).await;
        }
    }
}
