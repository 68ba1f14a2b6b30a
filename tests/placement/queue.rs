//! Scheduling passes of the job queue: starts, preemptions, claims and the explanations of waits.

use limpetquay::{
    connection::GuaranteedShare,
    prelude::*,
    process::job_queue::{JobQueue, PassCx, PassOutcome, WaitingJob, WeighedRules},
    request::{FleetView, ShapeMix, WeighedPlacement, WorkerCapacity},
    version::Fleet,
};

const DOCUMENT: &str = include_str!("queue.ini");

const MINUTE: Duration = Duration::from_secs(60);

/// A job queue over a fleet on which only its own jobs run.
pub struct QueueTestbed {
    pub queue: JobQueue,
    pub document: Document,
    pub fleet: Rc<Fleet>,
    pub shares: Vec<Vec<GuaranteedShare>>,
    pub now: Millis,
}

impl QueueTestbed {
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

    pub fn advance(
        &mut self,
        duration: Duration,
    ) {
        self.now += Millis::from(duration);
    }

    /// Returns the fleet with what is idle and what can be evicted, given the running jobs.
    pub fn view(&self) -> FleetView {
        let workers = self.fleet.workers().iter().zip(&self.shares);
        let mut capacities: Vec<WorkerCapacity> = workers
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
                let capacity = &mut capacities[i];
                capacity.idle = capacity.idle.without(held.accelerators);
                let own = GuaranteedShare::of_account(&capacity.guaranteed, &job.account);
                let others = GuaranteedShare::union_of(&capacity.guaranteed).without(own);
                if job.kind.is_evictable() {
                    let borrowed = held.accelerators.intersection(others);
                    capacity.evictable = capacity.evictable.union(borrowed);
                }
            }
        }
        FleetView {
            fleet: self.fleet.clone(),
            capacities,
        }
    }

    pub fn run_pass(&mut self) -> PassOutcome {
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

    /// Runs a pass and returns its outcome as lines of text.
    fn pass_lines(&mut self) -> Vec<String> {
        let outcome = self.run_pass();
        let starts = outcome.starts.iter().map(|s| {
            let workers: Vec<&str> = s.decision.members.iter().map(|m| m.as_str()).collect();
            format!("{} starts on {}", s.job.0, workers.join(" "))
        });
        let preemptions = outcome
            .preemptions
            .iter()
            .map(|j| format!("{} is preempted", j.0));
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
        starts.chain(preemptions).chain(waits).collect()
    }
}

fn testbed() -> QueueTestbed {
    QueueTestbed::new(crate::layout::fleet(1, 8))
}

/// Urgent jobs start first, then those within their account's guarantee; a job over its account's
/// quota waits.
#[test]
fn jobs_come_in_order() {
    let mut testbed = testbed();
    testbed.guarantee(0, "a", 8);
    testbed.add(1, "b", "night");
    testbed.add(2, "b", "worker");
    testbed.add(3, "a", "worker");
    testbed.add(4, "b", "urgent-rack");
    testbed.add(5, "small", "worker");
    insta::assert_debug_snapshot!(testbed.pass_lines());
}

/// A large gang that waits claims workers. A job that may run past the time of the claim does not
/// start on them; jobs that are expected to end before it do.
#[test]
fn a_claim_keeps_long_jobs_off() {
    let mut testbed = testbed();
    for id in 1..=6 {
        testbed.add(id, "b", "worker");
    }
    let full = testbed.pass_lines();
    testbed.add(10, "a", "large");
    let claimed = testbed.pass_lines();
    testbed.advance(MINUTE);
    testbed.queue.finish(testbed.now, JobId(1));
    testbed.add(11, "b", "worker");
    let kept = testbed.pass_lines();
    for id in 20..25 {
        testbed.queue.remove(JobId(id - 18));
        testbed.add(id, "c", "quick");
    }
    let opened = testbed.pass_lines();
    insta::assert_debug_snapshot!((full, claimed, kept, opened));
}

/// An urgent job preempts deferrable jobs only, and no more of them than it needs.
#[test]
fn deferrable_work_is_preempted() {
    let mut testbed = testbed();
    testbed.document.completion_weight = 1.0;
    testbed.document.fragmentation_weight = 0.0;
    for id in 1..=3 {
        testbed.add(id, "b", "worker");
    }
    let normal = testbed.pass_lines();
    for id in 4..=9 {
        testbed.add(id, "c", "night");
    }
    let full = testbed.pass_lines();
    testbed.add(10, "a", "urgent-rack");
    let preempted = testbed.pass_lines();
    let again = testbed.pass_lines();
    for id in 4..=7 {
        testbed.queue.requeue(JobId(id), MINUTE);
    }
    let started = testbed.pass_lines();
    insta::assert_debug_snapshot!((normal, full, preempted, again, started));
}

/// A gang that the present fleet cannot hold waits, and its explanation names what is missing.
#[test]
fn impossible_jobs_are_explained() {
    let mut testbed = QueueTestbed::new(crate::layout::fleet(1, 4));
    testbed.add(1, "a", "worker");
    testbed.add(2, "a", "large");
    let small = testbed.pass_lines();
    let mut empty = QueueTestbed::new(Fleet::default());
    empty.add(1, "a", "worker");
    insta::assert_debug_snapshot!((small, empty.pass_lines()));
}

/// After thousands of cancellations none of these jobs is left in the queue, and the remaining job
/// starts in the next pass.
#[test]
fn mass_cancellation_leaves_no_jobs() {
    let mut testbed = testbed();
    for id in 1..=5_000 {
        testbed.add(id, "b", "worker");
    }
    let first = testbed.run_pass().starts.len();
    testbed.add(6_000, "a", "large");
    testbed.run_pass();
    for id in 1..=5_000 {
        testbed.queue.remove(JobId(id));
    }
    let after = testbed.pass_lines();
    let left = (testbed.queue.waiting_len(), testbed.queue.running().count());
    insta::assert_debug_snapshot!((first, after, left));
}
