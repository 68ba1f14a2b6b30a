//! The turns of an entry's jobs: the queue, and the tasks that wait for it.

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

/// How soon a change of membership is looked at while jobs wait.
const MEMBERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The pause between turns when nothing changes, for claims and holds that depend on time.
const IDLE_PASS_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest pause between two turns, so that a wave of changes is one turn.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// How many times as long as a turn the pause after it is, so that turns take a small part of a
/// core.
const PAUSE_FACTOR: u32 = 24;

/// The shortest pause between two turns when urgent jobs come.
const MIN_URGENT_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after a turn, unless an urgent job comes.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// The queue of one entry with the tasks of its jobs.
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

/// A job's place in the queue, from the start of its task to its end.
pub struct QueueHandle {
    scheduler: Rc<QueueScheduler>,
    job: JobId,
}

impl QueueScheduler {
    /// Gives a job's task its place in the queue.
    pub fn register(
        self: &Rc<Self>,
        job: JobId,
    ) -> QueueHandle {
        QueueHandle {
            scheduler: self.clone(),
            job,
        }
    }

    /// Returns the queue. The reference must not be held over a wait.
    pub fn queue(&self) -> std::cell::Ref<'_, JobQueue> {
        self.queue.borrow()
    }

    /// Takes over what other entries' jobs hold and claim.
    pub fn set_other_entries(
        &self,
        running: Vec<RunningJob>,
        claims: Vec<super::Claim>,
    ) {
        self.queue.borrow_mut().set_other_entries(running, claims);
    }

    /// Says why a job waits; `None` when no task of this entry has it.
    pub fn explain(
        &self,
        job: JobId,
    ) -> Option<Explanation> {
        self.queue.borrow().explain(job)
    }

    /// Takes turns for ever: when a job comes, goes or ends, when membership changes while jobs
    /// wait, and now and then.
    pub async fn run(
        &self,
        entry: &Entry,
    ) {
        loop {
            let due = self.pass_requested.listen();
            let urgent = self.urgent_added.listen();
            let began = entry.clock.now();
            self.schedule_once(entry);
            let took = entry.clock.now().since(began);
            let pause = (took * PAUSE_FACTOR).clamp(MIN_PAUSE, MAX_PAUSE);
            if pause_unless_urgent(entry, pause, urgent).await {
                continue;
            }
            let changed = self.wait_for_membership_change(entry);
            futures_util::pin_mut!(due, changed);
            futures_util::future::select(due, changed).await;
        }
    }

    /// Waits until the live upstreams have changed, or for [`IDLE_TURN`].
    async fn wait_for_membership_change(
        &self,
        entry: &Entry,
    ) {
        let seen = self.live.borrow().clone();
        let until = entry.clock.now() + Millis::from(IDLE_PASS_INTERVAL);
        while entry.clock.now() < until {
            entry.clock.sleep(MEMBERSHIP_POLL_INTERVAL).await;
            let live = entry.members.borrow().live(entry.clock.now());
            let same = live.iter().zip(&seen).all(|(a, b)| Rc::ptr_eq(a, b));
            let waits = self.queue.borrow().waiting_len() > 0;
            if waits && (!same || live.len() != seen.len()) {
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

    /// Hands a turn's decisions to the tasks of the jobs.
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

    /// Returns the fleet with what is to be had, less what was just given to jobs.
    fn fleet_view(
        &self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) -> FleetView {
        let mut view = FleetView {
            fleet: self.fleet(live),
            capacities: live.iter().map(|u| u.room()).collect(),
        };
        self.pending_allocations
            .borrow_mut()
            .subtract_from(now, live, &mut view);
        view
    }

    /// Returns the fleet, which is made anew only when its workers have changed.
    fn fleet(
        &self,
        live: &[Rc<Announcement>],
    ) -> Rc<Fleet> {
        let mut fleet = self.fleet.borrow_mut();
        let workers = fleet.workers();
        let same =
            workers.len() == live.len() && workers.iter().zip(live).all(|(w, u)| u.is_worker(w));
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

/// Pauses after a turn. An urgent job ends the pause early; tells whether one came.
async fn pause_unless_urgent(
    entry: &Entry,
    pause: Duration,
    urgent: EventListener,
) -> bool {
    let shortest = pause.min(MIN_URGENT_PAUSE);
    entry.clock.sleep(shortest).await;
    let rest = pause - shortest;
    !rest.is_zero() && with_timeout(&*entry.clock, rest, urgent).await.is_some()
}

impl QueueHandle {
    /// Waits for the job's turn and returns its workers.
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
            let decided = self.scheduler.pass_completed.listen();
            if let Some(decision) = self.scheduler.decisions.borrow_mut().remove(&self.job) {
                return decision;
            }
            decided.await;
        }
    }

    /// Tells the queue of a gang that runs already, started by an earlier owner.
    pub fn adopt(
        &self,
        running: RunningJob,
    ) {
        self.scheduler.queue.borrow_mut().adopt(running);
        self.scheduler.pass_requested.notify(usize::MAX);
    }

    /// Tells the queue that all reservations of the gang stand.
    pub fn confirm_reservations(
        &self,
        now: Millis,
    ) {
        let live = self.scheduler.live.borrow();
        let mut expected = self.scheduler.pending_allocations.borrow_mut();
        expected.confirm(now, self.job, &live);
    }

    /// Puts the job back: it did not start, or lost its place.
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

    /// Tells the queue that the job finished.
    pub fn finish(
        &self,
        now: Millis,
    ) {
        self.scheduler.queue.borrow_mut().finish(now, self.job);
        self.scheduler.discard_decision(self.job);
    }

    /// Tells the queue that the job failed on a worker.
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

    /// Takes the job out of the queue.
    pub fn remove(&self) {
        self.scheduler.queue.borrow_mut().remove(self.job);
        self.scheduler.discard_decision(self.job);
    }

    /// Waits until the job is asked to give its place to one that cannot wait.
    pub async fn wait_for_preemption(&self) {
        loop {
            let decided = self.scheduler.pass_completed.listen();
            if self.scheduler.preempted_jobs.borrow().contains(&self.job) {
                return;
            }
            decided.await;
        }
    }
}

impl Drop for QueueHandle {
    fn drop(&mut self) {
        self.remove();
    }
}
