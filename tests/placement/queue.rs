//! Which job starts when, and what a waiting job is told.

use limpetquay::{
    connection::GuaranteedShare,
    prelude::*,
    process::job_queue::{JobQueue, PassCx, PassOutcome, WaitingJob, WeighedRules},
    request::{FleetView, ShapeMix, WeighedPlacement, WorkerCapacity},
    version::Fleet,
};

const DOCUMENT: &str = include_str!("queue.ini");

const MINUTE: Duration = Duration::from_secs(60);

/// A queue over a fleet on which its own jobs are all that runs.
pub struct QueueWorld {
    pub queue: JobQueue,
    pub document: Document,
    pub fleet: Rc<Fleet>,
    pub shares: Vec<Vec<GuaranteedShare>>,
    pub now: Millis,
}

impl QueueWorld {
    pub fn new(fleet: Fleet) -> Self {
        Self {
            queue: JobQueue::default(),
            document: Document::parse("queue.ini", DOCUMENT).expect("a valid document"),
            shares: vec![Vec::new(); fleet.workers().len()],
            fleet: Rc::new(fleet),
            now: Millis(0),
        }
    }

    pub fn guarantee(
        &mut self,
        worker: usize,
        account: &str,
        accelerators: u32,
    ) {
        self.shares[worker].push(GuaranteedShare {
            account: account.into(),
            accelerators: AcceleratorSet::first(accelerators),
        });
    }

    pub fn add(
        &mut self,
        id: u64,
        account: &str,
        kind: &str,
    ) {
        let kind = self.document.job_kinds[&KindName::from(kind)].clone();
        self.queue.add(WaitingJob {
            id: JobId(id),
            account: account.into(),
            kind: Rc::new(kind),
            waiting_since: self.now,
            progress: Duration::ZERO,
        });
    }

    pub fn after(
        &mut self,
        span: Duration,
    ) {
        self.now += Millis::from(span);
    }

    /// Returns what is idle and what can be evicted.
    pub fn view(&self) -> FleetView {
        let workers = self.fleet.workers().iter().zip(&self.shares);
        let mut rooms: Vec<WorkerCapacity> = workers
            .map(|(w, shares)| WorkerCapacity {
                idle: w.accelerators,
                guaranteed: shares.clone(),
                ..WorkerCapacity::default()
            })
            .collect();
        for job in self.queue.running() {
            for held in &job.held {
                let Some(i) = self.fleet.index_of(&held.upstream) else {
                    continue;
                };
                let room = &mut rooms[i];
                room.idle = room.idle.without(held.accelerators);
                let own = GuaranteedShare::of_account(&room.guaranteed, &job.account);
                let others = GuaranteedShare::union_of(&room.guaranteed).without(own);
                if job.kind.is_evictable() {
                    let borrowed = held.accelerators.intersection(others);
                    room.evictable = room.evictable.union(borrowed);
                }
            }
        }
        FleetView {
            fleet: self.fleet.clone(),
            capacities: rooms,
        }
    }

    pub fn turn(&mut self) -> PassOutcome {
        let view = self.view();
        self.queue.run_pass(PassCx {
            now: self.now,
            document: &self.document,
            mix: Rc::new(ShapeMix::of(&self.document)),
            policy: &WeighedPlacement,
            rules: &WeighedRules,
            view,
        })
    }

    /// Takes a turn and tells it in lines.
    fn lines(&mut self) -> Vec<String> {
        let outcome = self.turn();
        let starts = outcome.starts.iter().map(|s| {
            let workers: Vec<&str> = s.decision.members.iter().map(|m| m.as_str()).collect();
            format!("{} starts on {}", s.job.0, workers.join(" "))
        });
        let ways = outcome
            .preemptions
            .iter()
            .map(|j| format!("{} gives way", j.0));
        let waits = outcome.waits.iter().map(|w| {
            let e = &w.explanation;
            let passed = e
                .passed_over
                .iter()
                .map(|p| format!("{} {}", p.workers, p.reason));
            let passed: Vec<String> = passed.collect();
            format!(
                "{} waits for {} at {}/{} [{}]",
                w.job.0,
                e.waits_for,
                e.position,
                e.queued,
                passed.join(", ")
            )
        });
        starts.chain(ways).chain(waits).collect()
    }
}

fn world() -> QueueWorld {
    QueueWorld::new(crate::layout::fleet(1, 8))
}

/// Urgent work comes first, then what an account is guaranteed; a quota holds a job back.
#[test]
fn jobs_come_in_order() {
    let mut world = world();
    world.guarantee(0, "a", 8);
    world.add(1, "b", "night");
    world.add(2, "b", "worker");
    world.add(3, "a", "worker");
    world.add(4, "b", "urgent-rack");
    world.add(5, "small", "worker");
    insta::assert_debug_snapshot!(world.lines());
}

/// A large gang that waits has a dated claim: a job that may run long does not start on what it
/// claims, and one that has been seen to be short does.
#[test]
fn a_claim_keeps_long_jobs_off() {
    let mut world = world();
    for id in 1..=6 {
        world.add(id, "b", "worker");
    }
    let full = world.lines();
    world.add(10, "a", "large");
    let claimed = world.lines();
    world.after(MINUTE);
    world.queue.finish(world.now, JobId(1));
    world.add(11, "b", "worker");
    let kept = world.lines();
    for id in 20..25 {
        world.queue.remove(JobId(id - 18));
        world.add(id, "c", "quick");
    }
    let opened = world.lines();
    insta::assert_debug_snapshot!((full, claimed, kept, opened));
}

/// Urgent work displaces deferrable work, the smallest that does, and nothing else.
#[test]
fn deferrable_work_gives_way() {
    let mut world = world();
    world.document.completion_weight = 1.0;
    world.document.fragmentation_weight = 0.0;
    for id in 1..=3 {
        world.add(id, "b", "worker");
    }
    let normal = world.lines();
    for id in 4..=9 {
        world.add(id, "c", "night");
    }
    let full = world.lines();
    world.add(10, "a", "urgent-rack");
    let asked = world.lines();
    let again = world.lines();
    for id in 4..=7 {
        world.queue.requeue(JobId(id), MINUTE);
    }
    let started = world.lines();
    insta::assert_debug_snapshot!((normal, full, asked, again, started));
}

/// A gang that the fleet of now cannot hold waits, and is told what is missing.
#[test]
fn impossible_jobs_are_told_why() {
    let mut world = QueueWorld::new(crate::layout::fleet(1, 4));
    world.add(1, "a", "worker");
    world.add(2, "a", "large");
    let small = world.lines();
    let mut empty = QueueWorld::new(Fleet::default());
    empty.add(1, "a", "worker");
    insta::assert_debug_snapshot!((small, empty.lines()));
}

/// A wave of thousands of cancellations leaves nothing behind, and the rest starts at once.
#[test]
fn a_wave_of_cancellations_leaves_nothing() {
    let mut world = world();
    for id in 1..=5_000 {
        world.add(id, "b", "worker");
    }
    let first = world.turn().starts.len();
    world.add(6_000, "a", "large");
    world.turn();
    for id in 1..=5_000 {
        world.queue.remove(JobId(id));
    }
    let after = world.lines();
    let left = (world.queue.waiting_len(), world.queue.running().count());
    insta::assert_debug_snapshot!((first, after, left));
}
