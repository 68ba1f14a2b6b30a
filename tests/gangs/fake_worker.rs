//! A fake worker that runs tasks in virtual time and records accelerators used by two tasks.

use {
    super::node::Node,
    event_listener::Event,
    limpetquay::{
        prelude::*,
        process::{
            clock::with_timeout,
            platform::{
                RunAnswer, RunCall, TaskEnd, TaskId, TaskStart, TaskState, Worker, WorkerError,
            },
        },
    },
    std::{cell::Cell, collections::BTreeMap},
};

/// How a worker behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    Healthy,
    /// Checkpoints take longer than any timeout.
    SlowCheckpoints,
    /// Starts are refused.
    RefusesStarts,
    /// Every task fails at once.
    FailsTasks,
    /// No call is answered.
    Unresponsive,
}

struct FakeTask {
    start: TaskStart,
    started_at: Millis,
    lease_expires_at: Millis,
    checkpoint_ms: u64,
    run_ms: u64,
    end: Option<TaskEnd>,
}

/// The instance of a worker, which outlives the process of its guard.
pub struct FakeWorker {
    pub health: Cell<Health>,
    /// When the health last changed or the instance was last lost.
    pub last_fault_at: Cell<Millis>,
    pub violations: RefCell<Vec<String>>,
    node: Rc<Node>,
    tasks: RefCell<BTreeMap<TaskId, FakeTask>>,
    /// The tasks that had finished when the instance was lost.
    finished: RefCell<Vec<TaskId>>,
    changed: Event,
}

impl FakeWorker {
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        Rc::new(Self {
            health: Cell::new(Health::Healthy),
            last_fault_at: Cell::default(),
            violations: RefCell::default(),
            node,
            tasks: RefCell::default(),
            finished: RefCell::default(),
            changed: Event::new(),
        })
    }

    pub fn set_health(
        &self,
        health: Health,
    ) {
        self.health.set(health);
        self.last_fault_at.set(self.node.clock.now());
    }

    /// Drops all tasks, as the loss of the instance does.
    pub fn lose_instance(&self) {
        self.last_fault_at.set(self.node.clock.now());
        let finished = self.tasks(true);
        let finished = finished.into_iter().map(|(id, _)| id);
        self.finished.borrow_mut().extend(finished);
        self.tasks.borrow_mut().clear();
    }

    /// Returns all tasks that have finished here, also before a loss of the instance.
    pub fn all_finished_tasks(&self) -> Vec<TaskId> {
        let mut all = self.finished.borrow().clone();
        all.extend(self.tasks(true).into_iter().map(|(id, _)| id));
        all
    }

    /// Returns the finished tasks if `finished` is set, or else the running ones.
    pub fn tasks(
        &self,
        finished: bool,
    ) -> Vec<(TaskId, AcceleratorSet)> {
        let now = self.node.clock.now();
        let mut tasks = self.tasks.borrow_mut();
        tasks.values_mut().for_each(|t| t.advance(now));
        let wanted = |t: &&FakeTask| match t.end {
            None => !finished,
            Some(TaskEnd::Finished(_)) => finished,
            Some(_) => false,
        };
        let wanted = tasks.values().filter(wanted);
        wanted.map(|t| (t.start.id, t.start.accelerators)).collect()
    }

    fn start_task(
        &self,
        start: TaskStart,
    ) -> Result<(), WorkerError> {
        if self.tasks.borrow().contains_key(&start.id) {
            return Ok(());
        }
        for (id, used) in self.tasks(false) {
            if used.intersects(start.accelerators) {
                let violation = format!("{id} and {} run on the same accelerator", start.id);
                self.violations.borrow_mut().push(violation);
            }
        }
        let now = self.node.clock.now();
        let text = String::from_utf8_lossy(&start.payload).into_owned();
        let run_ms = text.strip_prefix("run_ms=").and_then(|ms| ms.parse().ok());
        let fails = run_ms.is_none() || self.health.get() == Health::FailsTasks;
        let task = FakeTask {
            started_at: now,
            lease_expires_at: now + Millis(start.lease_ms),
            checkpoint_ms: start.progress_ms,
            run_ms: run_ms.unwrap_or_default(),
            end: fails.then(|| TaskEnd::Failed("failed at its start".into())),
            start,
        };
        self.tasks.borrow_mut().insert(task.start.id, task);
        Ok(())
    }

    fn renew_task(
        &self,
        id: TaskId,
    ) -> (TaskState, Duration) {
        let now = self.node.clock.now();
        let mut tasks = self.tasks.borrow_mut();
        let Some(task) = tasks.get_mut(&id) else {
            return (TaskState::Unknown, Duration::ZERO);
        };
        task.advance(now);
        task.lease_expires_at = now + Millis(task.start.lease_ms);
        let left = Duration::from_millis(task.run_ms.saturating_sub(task.progress_ms(now)));
        match &task.end {
            Some(end) => (TaskState::Ended(end.clone()), left),
            None => (TaskState::Running { usage_percent: 100 }, left),
        }
    }

    async fn renew_until(
        &self,
        id: TaskId,
        wait: Duration,
    ) -> TaskState {
        let until = self.node.clock.now() + Millis::from(wait);
        loop {
            let changed = self.changed.listen();
            let (state, remaining) = self.renew_task(id);
            let left = until.since(self.node.clock.now());
            if !matches!(state, TaskState::Running { .. }) || left.is_zero() {
                return state;
            }
            with_timeout(&*self.node.clock, remaining.min(left), changed).await;
        }
    }

    fn checkpoint_task(
        &self,
        id: TaskId,
    ) -> Result<u64, WorkerError> {
        let now = self.node.clock.now();
        let mut tasks = self.tasks.borrow_mut();
        let task = tasks.get_mut(&id);
        let task = task.ok_or_else(|| WorkerError::Refused("unknown".into()))?;
        task.advance(now);
        if task.end.is_none() {
            task.checkpoint_ms = task.progress_ms(now);
        }
        Ok(task.checkpoint_ms)
    }

    fn stop_task(
        &self,
        id: TaskId,
    ) {
        let now = self.node.clock.now();
        if let Some(task) = self.tasks.borrow_mut().get_mut(&id) {
            task.advance(now);
            task.stop();
        }
        self.changed.notify(usize::MAX);
    }

    /// Waits for the network delay of a call, and for as long as the worker is unresponsive.
    async fn transit(&self) {
        self.node.clock.sleep(Duration::from_millis(5)).await;
        while self.health.get() == Health::Unresponsive {
            self.node.clock.sleep(Duration::from_millis(100)).await;
        }
    }
}

impl FakeTask {
    fn advance(
        &mut self,
        now: Millis,
    ) {
        let is_expired = now >= self.lease_expires_at;
        let until = if is_expired {
            self.lease_expires_at
        } else {
            now
        };
        if self.end.is_none() && self.progress_ms(until) >= self.run_ms {
            let result = format!("member {} of {}", self.start.id.member, self.start.id.job);
            self.end = Some(TaskEnd::Finished(result.into_bytes().into()));
        } else if is_expired {
            self.stop();
        }
    }

    fn stop(&mut self) {
        let progress_ms = self.checkpoint_ms;
        self.end.get_or_insert(TaskEnd::Stopped { progress_ms });
    }

    fn progress_ms(
        &self,
        now: Millis,
    ) -> u64 {
        self.start.progress_ms + now.0.saturating_sub(self.started_at.0)
    }
}

/// A connection of one guard process to the worker.
pub struct WorkerHandle {
    pub worker: Rc<FakeWorker>,
    pub node: Rc<Node>,
}

impl WorkerHandle {
    /// Makes a call, waiting before and after it while the guard's process is paused. A call of a
    /// process that dies meanwhile does not reach the worker.
    fn call<'a, F, T>(
        &'a self,
        call: F,
    ) -> LocalBoxFuture<'a, Result<T, WorkerError>>
    where
        F: Future<Output = Result<T, WorkerError>> + 'a,
    {
        Box::pin(async move {
            self.node.wait_until_running().await;
            self.worker.transit().await;
            if self.node.is_dead() {
                return Err(WorkerError::NotReached);
            }
            let result = call.await;
            self.node.wait_until_running().await;
            result
        })
    }
}

impl Worker for WorkerHandle {
    fn run(
        &self,
        _call: RunCall,
    ) -> LocalBoxFuture<'_, Result<RunAnswer, WorkerError>> {
        self.call(async { Err(WorkerError::NotReached) })
    }

    fn start(
        &self,
        task: TaskStart,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>> {
        self.call(async {
            if self.worker.health.get() == Health::RefusesStarts {
                return Err(WorkerError::Refused("broken".into()));
            }
            self.worker.start_task(task)
        })
    }

    fn renew(
        &self,
        id: TaskId,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<TaskState, WorkerError>> {
        self.call(async move { Ok(self.worker.renew_until(id, wait).await) })
    }

    fn checkpoint(
        &self,
        id: TaskId,
    ) -> LocalBoxFuture<'_, Result<u64, WorkerError>> {
        self.call(async move {
            if self.worker.health.get() == Health::SlowCheckpoints {
                self.worker.node.clock.sleep(Duration::from_secs(60)).await;
            }
            self.worker.checkpoint_task(id)
        })
    }

    fn throttle(
        &self,
        _id: TaskId,
        _percent: u32,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>> {
        self.call(async { Ok(()) })
    }

    fn stop(
        &self,
        id: TaskId,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>> {
        self.call(async move {
            self.worker.stop_task(id);
            Ok(())
        })
    }
}
