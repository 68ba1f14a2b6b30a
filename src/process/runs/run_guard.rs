//! The guard's process-wide state.

use {
    super::{
        RunTracker, RunWorker, WorkerAddress, WorkerHeartbeat, poll_task::poll_worker,
        session_task::serve_sessions,
    },
    crate::{prelude::*, process::task_group::TaskGroup},
    compio::net::TcpListener,
    event_listener::Event,
};

/// A guard: the only caller of its worker.
pub struct RunGuard {
    /// What it knows.
    pub tracker: RefCell<RunTracker>,
    /// The worker.
    pub worker: Rc<dyn RunWorker>,
    /// The clock, which also counts while the machine is suspended.
    pub clock: Rc<dyn Clock>,
    /// Told of each change that the scheduling entry should know of.
    pub changed: Event,
    /// Told when the worker has to be looked at again.
    pub poll_due: Event,
    /// Tasks that carry out orders.
    pub(super) order_tasks: TaskGroup,
    /// How often the worker sends a heartbeat.
    heartbeat_interval: Duration,
}

impl RunGuard {
    /// Creates a guard that knows no worker yet. Workers send a heartbeat in each `beat_interval`.
    pub fn new(
        worker: Rc<dyn RunWorker>,
        clock: Rc<dyn Clock>,
        beat_interval: Duration,
    ) -> Self {
        Self {
            tracker: RefCell::default(),
            worker,
            clock,
            changed: Event::new(),
            poll_due: Event::new(),
            order_tasks: TaskGroup::default(),
            heartbeat_interval: beat_interval,
        }
    }

    /// Notes that the worker's address has refused a connection.
    pub(super) fn record_refused_connection(
        &self,
        worker: &WorkerAddress,
    ) {
        let now = self.clock.now();
        let mut book = self.tracker.borrow_mut();
        if book.record_refused_connection(now, self.heartbeat_interval) {
            tracing::info!(id = %worker.life.id, "the worker has ended: nothing listens at its address and its heartbeats stay away");
            self.changed.notify(usize::MAX);
        }
    }

    /// Takes a heartbeat of the worker.
    pub fn apply_heartbeat(
        &self,
        beat: WorkerHeartbeat,
    ) {
        let worker = beat.worker.clone();
        let (leaving, sequence) = (beat.info.leaving_ms, beat.sequence);
        let now = self.clock.now();
        if self.tracker.borrow_mut().apply_heartbeat(beat, now) {
            tracing::info!(id = %worker.life.id, born_ms = worker.life.born_ms, sequence, leaving_ms = leaving, "worker heard");
            self.poll_due.notify(usize::MAX);
            self.changed.notify(usize::MAX);
        }
    }

    /// Takes a worker's farewell.
    pub fn apply_deregistration(
        &self,
        id: &str,
    ) {
        let is_known = self.tracker.borrow_mut().apply_deregistration(id);
        tracing::info!(id, is_known, "worker deregistered");
        self.changed.notify(usize::MAX);
    }

    /// Starts the guard's tasks.
    pub fn start(
        self: &Rc<Self>,
        listener: TcpListener,
    ) -> TaskGroup {
        let tasks = TaskGroup::default();
        tasks.spawn(poll_worker(self.clone()));
        tasks.spawn(serve_sessions(self.clone(), listener));
        tasks
    }
}
