//! The turns of an entry's jobs: the queue, and the tasks that wait for it.

use {
    super::{
        Explanation, JobQueue, RunningJob, TurnCx, TurnOutcome, WaitingJob, WeighedRules,
        expected_holds::ExpectedHolds,
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
const CHANGE_LOOK: Duration = Duration::from_millis(50);

/// The pause between turns when nothing changes, for claims and holds that depend on time.
const IDLE_TURN: Duration = Duration::from_secs(1);

/// The shortest pause between two turns, so that a wave of changes is one turn.
const TURN_SPACING: Duration = Duration::from_millis(10);

/// How many times as long as a turn the pause after it is, so that turns take a small part of a
/// core.
const PAUSE_FACTOR: u32 = 24;

/// The shortest pause between two turns when urgent jobs come.
const URGENT_SPACING: Duration = Duration::from_millis(100);

/// The longest pause after a turn, unless an urgent job comes.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// The queue of one entry with the tasks of its jobs.
#[derive(Default)]
pub struct JobTurns {
    queue: RefCell<JobQueue>,
    grants: RefCell<BTreeMap<JobId, PlacementDecision>>,
    giving_way: RefCell<BTreeSet<JobId>>,
    expected: RefCell<ExpectedHolds>,
    fleet: RefCell<Rc<Fleet>>,
    live: RefCell<Vec<Rc<Announcement>>>,
    due: Event,
    urgent: Event,
    decided: Event,
}

/// A job's place in the queue, from the start of its task to its end.
pub struct JobTurn {
    turns: Rc<JobTurns>,
    job: JobId,
}

impl JobTurns {
    /// Gives a job's task its place in the queue.
    pub fn enter(
        self: &Rc<Self>,
        job: JobId,
    ) -> JobTurn {
        JobTurn {
            turns: self.clone(),
            job,
        }
    }

    /// Returns the queue. The reference must not be held over a wait.
    pub fn queue(&self) -> std::cell::Ref<'_, JobQueue> {
        self.queue.borrow()
    }

    /// Takes over what other entries' jobs hold and claim.
    pub fn set_others(
        &self,
        running: Vec<RunningJob>,
        claims: Vec<super::Claim>,
    ) {
        self.queue.borrow_mut().set_others(running, claims);
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
            let due = self.due.listen();
            let urgent = self.urgent.listen();
            let began = entry.clock.now();
            self.take_turn(entry);
            let took = entry.clock.now().since(began);
            let pause = (took * PAUSE_FACTOR).clamp(TURN_SPACING, MAX_PAUSE);
            if pause_unless_urgent(entry, pause, urgent).await {
                continue;
            }
            let changed = self.wait_for_members(entry);
            futures_util::pin_mut!(due, changed);
            futures_util::future::select(due, changed).await;
        }
    }

    /// Waits until the live upstreams have changed, or for [`IDLE_TURN`].
    async fn wait_for_members(
        &self,
        entry: &Entry,
    ) {
        let seen = self.live.borrow().clone();
        let until = entry.clock.now() + Millis::from(IDLE_TURN);
        while entry.clock.now() < until {
            entry.clock.sleep(CHANGE_LOOK).await;
            let live = entry.members.borrow().live(entry.clock.now());
            let same = live.iter().zip(&seen).all(|(a, b)| Rc::ptr_eq(a, b));
            let waits = self.queue.borrow().waiting_len() > 0;
            if waits && (!same || live.len() != seen.len()) {
                return;
            }
        }
    }

    fn take_turn(
        &self,
        entry: &Entry,
    ) {
        let now = entry.clock.now();
        let live = entry.members.borrow().live(now);
        let view = self.view(now, &live);
        *self.live.borrow_mut() = live;
        if self.queue.borrow().waiting_len() == 0 {
            return;
        }
        let document = entry.document();
        let outcome = self.queue.borrow_mut().turn(TurnCx {
            now,
            mix: Rc::new(ShapeMix::of(&document)),
            document: &document,
            policy: &*entry.placement,
            rules: &WeighedRules,
            view,
        });
        self.apply(now, outcome);
    }

    /// Hands a turn's decisions to the tasks of the jobs.
    fn apply(
        &self,
        now: Millis,
        outcome: TurnOutcome,
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
        for job in &outcome.give_way {
            tracing::info!(target: "decision", decision = "give-way", job = %job);
            self.giving_way.borrow_mut().insert(*job);
        }
        for start in outcome.starts {
            let held = self.queue.borrow().held_by(start.job);
            self.expected.borrow_mut().give(now, start.job, &held);
            self.grants.borrow_mut().insert(start.job, start.decision);
        }
        self.decided.notify(usize::MAX);
    }

    /// Returns the fleet with what is to be had, less what was just given to jobs.
    fn view(
        &self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) -> FleetView {
        let mut view = FleetView {
            fleet: self.fleet(live),
            rooms: live.iter().map(|u| u.free_capacity()).collect(),
        };
        self.expected.borrow_mut().apply(now, live, &mut view);
        view
    }

    /// Returns the fleet, which is made anew only when its workers have changed.
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

    fn forget_grant(
        &self,
        job: JobId,
    ) {
        self.grants.borrow_mut().remove(&job);
        self.giving_way.borrow_mut().remove(&job);
        self.expected.borrow_mut().remove(job);
        self.due.notify(usize::MAX);
    }
}

/// Pauses after a turn. An urgent job ends the pause early; tells whether one came.
async fn pause_unless_urgent(
    entry: &Entry,
    pause: Duration,
    urgent: EventListener,
) -> bool {
    let shortest = pause.min(URGENT_SPACING);
    entry.clock.sleep(shortest).await;
    let rest = pause - shortest;
    !rest.is_zero() && with_timeout(&*entry.clock, rest, urgent).await.is_some()
}

impl JobTurn {
    /// Waits for the job's turn and returns its workers.
    pub async fn place(
        &self,
        job: WaitingJob,
    ) -> PlacementDecision {
        if job.kind.class == Class::Urgent {
            self.turns.urgent.notify(usize::MAX);
        }
        self.turns.queue.borrow_mut().add(job);
        self.turns.due.notify(usize::MAX);
        loop {
            let decided = self.turns.decided.listen();
            if let Some(decision) = self.turns.grants.borrow_mut().remove(&self.job) {
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
        self.turns.queue.borrow_mut().adopt(running);
        self.turns.due.notify(usize::MAX);
    }

    /// Tells the queue that all reservations of the gang stand.
    pub fn reserved(
        &self,
        now: Millis,
    ) {
        let live = self.turns.live.borrow();
        let mut expected = self.turns.expected.borrow_mut();
        expected.reserved(now, self.job, &live);
    }

    /// Puts the job back: it did not start, or lost its place.
    pub fn put_back(
        &self,
        progress: Duration,
    ) {
        self.turns.queue.borrow_mut().requeue(self.job, progress);
        self.turns.forget_grant(self.job);
    }

    /// Tells the queue that the job finished.
    pub fn finished(
        &self,
        now: Millis,
    ) {
        self.turns.queue.borrow_mut().finished(now, self.job);
        self.turns.forget_grant(self.job);
    }

    /// Tells the queue that the job failed on a worker.
    pub fn failed_on(
        &self,
        now: Millis,
        worker: &UpstreamName,
    ) {
        let fleet = self.turns.fleet.borrow().workers().len();
        let mut queue = self.turns.queue.borrow_mut();
        if queue.failed_on(now, self.job, worker, fleet) {
            tracing::warn!(target: "decision", decision = "eject", upstream = %worker);
        }
    }

    /// Takes the job out of the queue.
    pub fn leave(&self) {
        self.turns.queue.borrow_mut().remove(self.job);
        self.turns.forget_grant(self.job);
    }

    /// Waits until the job is asked to give its place to one that cannot wait.
    pub async fn asked_to_give_way(&self) {
        loop {
            let decided = self.turns.decided.listen();
            if self.turns.giving_way.borrow().contains(&self.job) {
                return;
            }
            decided.await;
        }
    }
}

impl Drop for JobTurn {
    fn drop(&mut self) {
        self.leave();
    }
}
