//! The guard's process-wide state.

use {
    super::{
        RunTracker, RunWorker, WorkerAddress, WorkerHeartbeat, WorkerOrder,
        order_task::{execute_start, execute_stop},
        poll_task::poll_worker,
        session_task::serve_sessions,
        worker_end::longest_lease,
    },
    crate::{
        connection::GuardOrders,
        prelude::*,
        process::{limits::PortLimiter, task_group::TaskGroup},
    },
    async_lock::Semaphore,
    compio::net::TcpListener,
    event_listener::Event,
};

/// The maximum number of starts, and of stops, that wait for the worker's answer at the same time. A
/// worker that takes its time for each call would otherwise answer none of them before its timeout,
/// nor the polls beside them.
const MAX_PARALLEL_CALLS: usize = 8;

/// A guard, which is the only caller of its worker.
pub struct RunGuard {
    /// The state of the worker, its runs and the session.
    pub tracker: RefCell<RunTracker>,
    /// The worker.
    pub worker: Rc<dyn RunWorker>,
    /// The clock, which also advances while the machine is suspended.
    pub clock: Rc<dyn Clock>,
    /// Notified of each change that is to be reported to the scheduling entry.
    pub changed: Event,
    /// Notified when the worker has to be polled again.
    pub poll_due: Event,
    /// Tasks that carry out orders.
    pub(super) order_tasks: TaskGroup,
    /// Held by each start that is being sent.
    pub(super) start_slots: Semaphore,
    /// Held by each stop that is being sent, so that starts do not delay stops.
    pub(super) stop_slots: Semaphore,
    /// The interval at which the worker sends heartbeats.
    heartbeat_interval: Duration,
}

impl RunGuard {
    /// Creates a guard without a worker. Workers send a heartbeat in each `heartbeat_interval`, and
    /// a guard before this one may have granted a lease of up to `max_lease`.
    pub fn new(
        worker: Rc<dyn RunWorker>,
        clock: Rc<dyn Clock>,
        heartbeat_interval: Duration,
        max_lease: Millis,
    ) -> Self {
        let mut tracker = RunTracker::default();
        tracker.record_leases_until(clock.now() + longest_lease(max_lease));
        Self {
            tracker: RefCell::new(tracker),
            worker,
            clock,
            changed: Event::new(),
            poll_due: Event::new(),
            order_tasks: TaskGroup::default(),
            start_slots: Semaphore::new(MAX_PARALLEL_CALLS),
            stop_slots: Semaphore::new(MAX_PARALLEL_CALLS),
            heartbeat_interval,
        }
    }

    /// Records that the worker's address has refused a connection, which may show that it has
    /// ended.
    pub(super) fn record_refused_connection(
        &self,
        worker: &WorkerAddress,
    ) {
        let now = self.clock.now();
        let mut tracker = self.tracker.borrow_mut();
        if tracker.record_refused_connection(now, self.heartbeat_interval) {
            tracing::info!(id = %worker.life.id, "the worker has ended: nothing listens at its address and its lease has expired");
            self.changed.notify(usize::MAX);
        }
    }

    /// Applies a heartbeat of the worker.
    pub fn apply_heartbeat(
        &self,
        heartbeat: WorkerHeartbeat,
    ) {
        let worker = heartbeat.worker.clone();
        let (leaving_ms, sequence) = (heartbeat.info.leaving_ms, heartbeat.sequence);
        let now = self.clock.now();
        if self.tracker.borrow_mut().apply_heartbeat(heartbeat, now) {
            tracing::info!(id = %worker.life.id, born_ms = worker.life.started_at_ms, sequence, leaving_ms, "worker heartbeat with changes received");
            self.poll_due.notify(usize::MAX);
            self.changed.notify(usize::MAX);
        }
    }

    /// Records that the guard's registration is stored, and uses a worker that has waited for it.
    pub(super) fn confirm_registration(
        &self,
        registration: u64,
    ) {
        let now = self.clock.now();
        self.tracker
            .borrow_mut()
            .confirm_registration(registration, now);
        self.poll_due.notify(usize::MAX);
        self.changed.notify(usize::MAX);
    }

    /// Ends a worker that has deregistered once its lease has expired.
    pub(super) fn end_expired_departure(&self) {
        let now = self.clock.now();
        if self.tracker.borrow_mut().end_expired_departure(now) {
            tracing::info!("the worker has ended: it has deregistered and its lease has expired");
            self.changed.notify(usize::MAX);
        }
    }

    /// Uses the worker whose heartbeat waits, once the earlier one has ended.
    pub(super) fn use_waiting_worker(&self) {
        let now = self.clock.now();
        if self.tracker.borrow_mut().use_waiting_worker(now) {
            tracing::info!("the worker that has waited is used");
            self.changed.notify(usize::MAX);
        }
    }

    /// Applies the deregistration of a worker, and of the life with this start time if it names one.
    pub fn apply_deregistration(
        &self,
        id: &str,
        started_at_ms: Option<u64>,
    ) {
        let mut tracker = self.tracker.borrow_mut();
        let is_known = tracker.apply_deregistration(id, started_at_ms);
        drop(tracker);
        tracing::info!(id, started_at_ms, is_known, "worker deregistered");
        self.poll_due.notify(usize::MAX);
        self.changed.notify(usize::MAX);
    }

    /// Applies a message of the session and carries out its orders, each in a task of its own.
    pub fn carry_out(
        self: &Rc<Self>,
        orders: &GuardOrders,
    ) {
        let now = self.clock.now();
        let acknowledged_before = self.tracker.borrow().acknowledged_end;
        let was_leased = self.tracker.borrow().is_leased(now);
        let calls = self.tracker.borrow_mut().apply_orders(orders, now);
        let is_leased_again = !was_leased && self.tracker.borrow().is_leased(now);
        if is_leased_again || self.tracker.borrow().acknowledged_end != acknowledged_before {
            self.poll_due.notify(usize::MAX);
        }
        if !orders.starts.is_empty() || !orders.stops.is_empty() {
            self.changed.notify(usize::MAX);
        }
        let Some(worker) = self.tracker.borrow().worker.clone() else {
            return;
        };
        for call in calls {
            let (guard, worker, token) = (self.clone(), worker.clone(), orders.token);
            match call {
                WorkerOrder::Start(start) => self
                    .order_tasks
                    .spawn(execute_start(guard, worker, token, start)),
                WorkerOrder::Stop(run) => self
                    .order_tasks
                    .spawn(execute_stop(guard, worker, token, run)),
            }
        }
    }

    /// Starts the guard's tasks, without a limit on connections.
    pub fn start(
        self: &Rc<Self>,
        listener: TcpListener,
    ) -> TaskGroup {
        self.start_limited(listener, Rc::new(PortLimiter::unlimited()))
    }

    /// Starts the guard's tasks. The connections of sessions, and the frames that open them, count in
    /// `limiter`.
    pub fn start_limited(
        self: &Rc<Self>,
        listener: TcpListener,
        limiter: Rc<PortLimiter>,
    ) -> TaskGroup {
        let tasks = TaskGroup::default();
        tasks.spawn(poll_worker(self.clone()));
        tasks.spawn(serve_sessions(self.clone(), listener, limiter));
        tasks
    }
}
