//! Runs the scheduling passes of an entry and delivers their decisions to the tasks of its jobs.

use {
    super::{
        Explanation, JobQueue, PassCx, PassOutcome, RunningJob, WaitingJob, WeighedRules,
        pending_allocations::PendingAllocations,
    },
    crate::{
        prelude::*,
        process::{clock::with_timeout, entry::Entry, membership::Announcement},
        request::{FleetView, PlacementDecision, ShapeMix},
        version::{Class, Fleet},
    },
    event_listener::{Event, EventListener},
    std::collections::{BTreeMap, BTreeSet},
};

/// The interval at which membership is polled for changes between passes.
const MEMBERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between passes when nothing changes, because claims and the holding back of jobs
/// depend on time.
const IDLE_PASS_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest pause between two passes, so that one pass handles a burst of changes.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// The ratio of the pause after a pass to the duration of the pass, so that passes take a small
/// part of a core.
const PAUSE_FACTOR: u32 = 24;

/// The part of a pause that urgent jobs do not cut short.
const MIN_URGENT_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after a pass.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Runs the scheduling passes of one entry. The tasks of its jobs wait here for placement and
/// preemption.
#[derive(Default)]
pub struct QueueScheduler {
    queue: RefCell<JobQueue>,
    decisions: RefCell<BTreeMap<JobId, PlacementDecision>>,
    preempted_jobs: RefCell<BTreeSet<JobId>>,
    pending_allocations: RefCell<PendingAllocations>,
    fleet: RefCell<Rc<Fleet>>,
    live: RefCell<Vec<Rc<Announcement>>>,
    pass_requested: Event,
    urgent_added: Event,
    pass_completed: Event,
}

/// The handle by which the task of one job uses the queue. Dropping it removes the job.
pub struct QueueHandle {
    scheduler: Rc<QueueScheduler>,
    job: JobId,
}

impl QueueScheduler {
    /// Returns the handle for the task of a job.
    pub fn register(
        self: &Rc<Self>,
        job: JobId,
    ) -> QueueHandle {
        QueueHandle {
            scheduler: self.clone(),
            job,
        }
    }

    /// Returns the queue. The reference must not be held across an `await`.
    pub fn queue(&self) -> std::cell::Ref<'_, JobQueue> {
        self.queue.borrow()
    }

    /// Replaces what the jobs of other entries hold and claim.
    pub fn set_other_entries(
        &self,
        running: Vec<RunningJob>,
        claims: Vec<super::Claim>,
    ) {
        self.queue.borrow_mut().set_other_entries(running, claims);
    }

    /// Explains why a job waits, or where it runs; `None` when it is not in this entry's queue.
    pub fn explain(
        &self,
        job: JobId,
    ) -> Option<Explanation> {
        self.queue.borrow().explain(job)
    }

    /// Runs passes forever: when a job is added, requeued or removed, when membership changes while
    /// jobs wait, and periodically for decisions that depend on time.
    pub async fn run(
        &self,
        entry: &Entry,
    ) {
        loop {
            let pass_requested = self.pass_requested.listen();
            let urgent_added = self.urgent_added.listen();
            let began = entry.clock.now();
            self.schedule_once(entry);
            let duration = entry.clock.now().since(began);
            let pause = (duration * PAUSE_FACTOR).clamp(MIN_PAUSE, MAX_PAUSE);
            if pause_unless_urgent(entry, pause, urgent_added).await {
                continue;
            }
            let changed = self.wait_for_membership_change(entry);
            futures_util::pin_mut!(pass_requested, changed);
            futures_util::future::select(pass_requested, changed).await;
        }
    }

    /// Waits until the live upstreams have changed while jobs wait, or for [`IDLE_PASS_INTERVAL`].
    async fn wait_for_membership_change(
        &self,
        entry: &Entry,
    ) {
        let previous = self.live.borrow().clone();
        let until = entry.clock.now() + Millis::from(IDLE_PASS_INTERVAL);
        while entry.clock.now() < until {
            entry.clock.sleep(MEMBERSHIP_POLL_INTERVAL).await;
            let live = entry.members.borrow().live(entry.clock.now());
            let same = live.iter().zip(&previous).all(|(a, b)| Rc::ptr_eq(a, b));
            let waits = self.queue.borrow().waiting_len() > 0;
            if waits && (!same || live.len() != previous.len()) {
                return;
            }
        }
    }

    fn schedule_once(
        &self,
        entry: &Entry,
    ) {
        let now = entry.clock.now();
        let live = entry.members.borrow().live(now);
        let view = self.fleet_view(now, &live);
        *self.live.borrow_mut() = live;
        if self.queue.borrow().waiting_len() == 0 {
            return;
        }
        let document = entry.document();
        let outcome = self.queue.borrow_mut().run_pass(PassCx {
            now,
            mix: Rc::new(ShapeMix::of(&document)),
            document: &document,
            policy: &*entry.placement,
            rules: &WeighedRules,
            view,
        });
        self.publish(now, outcome);
    }

    /// Logs the decisions of a pass and delivers them to the tasks of the jobs.
    fn publish(
        &self,
        now: Millis,
        outcome: PassOutcome,
    ) {
        for wait in &outcome.waits {
            tracing::info!(
                target: "decision",
                decision = "wait",
                job = %wait.job,
                waits_for = %wait.explanation.waits_for,
                position = wait.explanation.position,
                queued = wait.explanation.queued,
                passed_over =
                    %serde_json::to_string(&wait.explanation.passed_over).unwrap_or_default(),
            );
        }
        for job in &outcome.preemptions {
            tracing::info!(target: "decision", decision = "give-way", job = %job);
            self.preempted_jobs.borrow_mut().insert(*job);
        }
        for start in outcome.starts {
            let held = self.queue.borrow().held_by(start.job);
            self.pending_allocations
                .borrow_mut()
                .insert(now, start.job, &held);
            self.decisions
                .borrow_mut()
                .insert(start.job, start.decision);
        }
        self.pass_completed.notify(usize::MAX);
    }

    /// Returns the fleet with the announced capacity, less the accelerators that were allocated and
    /// that announcements do not show yet.
    fn fleet_view(
        &self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) -> FleetView {
        let mut view = FleetView {
            fleet: self.fleet(live),
            capacities: live.iter().map(|u| u.free_capacity()).collect(),
        };
        self.pending_allocations
            .borrow_mut()
            .subtract_from(now, live, &mut view);
        view
    }

    /// Returns the fleet, which is rebuilt only when its workers have changed.
    fn fleet(
        &self,
        live: &[Rc<Announcement>],
    ) -> Rc<Fleet> {
        let mut fleet = self.fleet.borrow_mut();
        let workers = fleet.workers();
        let same = workers.len() == live.len()
            && workers.iter().zip(live).all(|(w, u)| u.matches_worker(w));
        if !same {
            let workers = live.iter().map(|u| u.fleet_worker()).collect();
            *fleet = Rc::new(Fleet::new(workers));
        }
        fleet.clone()
    }

    fn discard_decision(
        &self,
        job: JobId,
    ) {
        self.decisions.borrow_mut().remove(&job);
        self.preempted_jobs.borrow_mut().remove(&job);
        self.pending_allocations.borrow_mut().remove(job);
        self.pass_requested.notify(usize::MAX);
    }
}

/// Pauses after a pass. An urgent job cuts the pause short; returns whether one did.
async fn pause_unless_urgent(
    entry: &Entry,
    pause: Duration,
    urgent_added: EventListener,
) -> bool {
    let shortest = pause.min(MIN_URGENT_PAUSE);
    entry.clock.sleep(shortest).await;
    let remaining = pause - shortest;
    !remaining.is_zero()
        && with_timeout(&*entry.clock, remaining, urgent_added)
            .await
            .is_some()
}

impl QueueHandle {
    /// Adds the job to the queue, waits until a pass places it, and returns the placement.
    pub async fn wait_for_placement(
        &self,
        job: WaitingJob,
    ) -> PlacementDecision {
        if job.kind.class == Class::Urgent {
            self.scheduler.urgent_added.notify(usize::MAX);
        }
        self.scheduler.queue.borrow_mut().add(job);
        self.scheduler.pass_requested.notify(usize::MAX);
        loop {
            let pass_completed = self.scheduler.pass_completed.listen();
            if let Some(decision) = self.scheduler.decisions.borrow_mut().remove(&self.job) {
                return decision;
            }
            pass_completed.await;
        }
    }

    /// Adds the job with a gang that an earlier owner started and that still runs.
    pub fn adopt(
        &self,
        running: RunningJob,
    ) {
        self.scheduler.queue.borrow_mut().adopt(running);
        self.scheduler.pass_requested.notify(usize::MAX);
    }

    /// Records that all reservations of the gang are made.
    pub fn confirm_reservations(
        &self,
        now: Millis,
    ) {
        let live = self.scheduler.live.borrow();
        let mut pending = self.scheduler.pending_allocations.borrow_mut();
        pending.confirm(now, self.job, &live);
    }

    /// Returns the job to the waiting ones, because it did not start or was stopped. `progress` is
    /// the run time that its last checkpoint covers.
    pub fn requeue(
        &self,
        progress: Duration,
    ) {
        self.scheduler
            .queue
            .borrow_mut()
            .requeue(self.job, progress);
        self.scheduler.discard_decision(self.job);
    }

    /// Records that the job finished, and removes it.
    pub fn finish(
        &self,
        now: Millis,
    ) {
        self.scheduler.queue.borrow_mut().finish(now, self.job);
        self.scheduler.discard_decision(self.job);
    }

    /// Records that the job failed on a worker.
    pub fn record_failure(
        &self,
        now: Millis,
        worker: &UpstreamName,
    ) {
        let fleet = self.scheduler.fleet.borrow().workers().len();
        let mut queue = self.scheduler.queue.borrow_mut();
        if queue.record_failure(now, self.job, worker, fleet) {
            tracing::warn!(target: "decision", decision = "eject", upstream = %worker);
        }
    }

    /// Removes the job from the queue.
    pub fn remove(&self) {
        self.scheduler.queue.borrow_mut().remove(self.job);
        self.scheduler.discard_decision(self.job);
    }

    /// Waits until the job is preempted by an urgent one.
    pub async fn wait_for_preemption(&self) {
        loop {
            let pass_completed = self.scheduler.pass_completed.listen();
            if self.scheduler.preempted_jobs.borrow().contains(&self.job) {
                return;
            }
            pass_completed.await;
        }
    }
}

impl Drop for QueueHandle {
    fn drop(&mut self) {
        self.remove();
    }
}
