//! Random scenarios of a job queue; after each step the invariants of what jobs hold are checked.

use {
    crate::{fuzz::runner, layout::fleet, queue::QueueTestbed},
    limpetquay::{
        connection::GuaranteedShare,
        prelude::*,
        process::job_queue::{PassOutcome, RunningJob},
        version::{Adjacency, Fleet},
    },
    proptest::prelude::*,
    std::collections::BTreeSet,
};

const CASES: u32 = 60;

/// The most steps of one scenario.
const STEPS: usize = 60;

const ACCOUNTS: [&str; 4] = ["a", "b", "c", "small"];

const KINDS: [&str; 6] = [
    "quick",
    "worker",
    "large",
    "urgent-rack",
    "night",
    "stubborn",
];

#[derive(Clone, Debug)]
enum Step {
    Add { account: usize, kind: usize },
    Cancel { pick: usize },
    CancelAll,
    Finish { pick: usize },
    Fail { pick: usize },
    Requeue { pick: usize },
    RemoveWorker { worker: usize },
    RestoreWorkers,
    Pass { after_s: u64 },
}

fn any_step() -> impl Strategy<Value = Step> {
    let add = (0..ACCOUNTS.len(), 0..KINDS.len());
    prop_oneof![
        8 => add.prop_map(|(account, kind)| Step::Add { account, kind }),
        2 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        1 => Just(Step::CancelAll),
        4 => any::<usize>().prop_map(|pick| Step::Finish { pick }),
        3 => any::<usize>().prop_map(|pick| Step::Fail { pick }),
        2 => any::<usize>().prop_map(|pick| Step::Requeue { pick }),
        1 => (0_usize..12).prop_map(|worker| Step::RemoveWorker { worker }),
        1 => Just(Step::RestoreWorkers),
        8 => (0_u64..4000).prop_map(|after_s| Step::Pass { after_s }),
    ]
}

/// A queue with its full fleet, and the jobs that have and have not ended.
struct Scenario {
    testbed: QueueTestbed,
    full_fleet: Fleet,
    shares: Vec<Vec<GuaranteedShare>>,
    ended: BTreeSet<JobId>,
    unfinished: BTreeSet<JobId>,
    next_id: u64,
}

impl Scenario {
    fn new() -> Self {
        let full_fleet = fleet(2, 8);
        let mut testbed = QueueTestbed::new(full_fleet.clone());
        testbed.guarantee(0, "a", 8);
        testbed.guarantee(4, "b", 4);
        testbed.guarantee(7, "c", 6);
        Self {
            shares: testbed.shares.clone(),
            testbed,
            full_fleet,
            ended: BTreeSet::new(),
            unfinished: BTreeSet::new(),
            next_id: 1,
        }
    }

    fn pick_running(
        &self,
        pick: usize,
    ) -> Option<RunningJob> {
        let running: Vec<&RunningJob> = self.testbed.queue.running().collect();
        running
            .get(pick % running.len().max(1))
            .map(|r| (*r).clone())
    }

    fn apply(
        &mut self,
        step: &Step,
    ) {
        match step {
            Step::Add { account, kind } => {
                self.testbed
                    .add(self.next_id, ACCOUNTS[*account], KINDS[*kind]);
                self.unfinished.insert(JobId(self.next_id));
                self.next_id += 1;
            }
            Step::Cancel { pick } => {
                let job = self
                    .unfinished
                    .iter()
                    .nth(pick % self.unfinished.len().max(1))
                    .copied();
                job.into_iter().for_each(|j| self.cancel(j));
            }
            Step::CancelAll => self
                .unfinished
                .clone()
                .into_iter()
                .for_each(|j| self.cancel(j)),
            Step::Finish { pick } => {
                if let Some(job) = self.pick_running(*pick) {
                    self.testbed.queue.finish(self.testbed.now, job.id);
                    self.mark_ended(job.id);
                }
            }
            Step::Fail { pick } => {
                if let Some(job) = self.pick_running(*pick) {
                    let now = self.testbed.now;
                    let worker = &job.held[0].upstream;
                    self.testbed.queue.record_failure(now, job.id, worker, 12);
                    self.testbed.queue.requeue(job.id, Duration::ZERO);
                }
            }
            Step::Requeue { pick } => {
                if let Some(job) = self.pick_running(*pick) {
                    let progress = job.elapsed(self.testbed.now);
                    self.testbed.queue.requeue(job.id, progress);
                }
            }
            Step::RemoveWorker { worker } => self.remove_worker(*worker),
            Step::RestoreWorkers => self.set_fleet(self.full_fleet.clone()),
            Step::Pass { after_s } => {
                self.testbed.advance(Duration::from_secs(*after_s));
                self.run_pass();
            }
        }
    }

    fn cancel(
        &mut self,
        job: JobId,
    ) {
        self.testbed.queue.remove(job);
        self.mark_ended(job);
    }

    fn mark_ended(
        &mut self,
        job: JobId,
    ) {
        self.unfinished.remove(&job);
        self.ended.insert(job);
    }

    /// Removes a worker from the fleet and requeues the gangs that have a member there.
    fn remove_worker(
        &mut self,
        worker: usize,
    ) {
        let lost = self.full_fleet.workers()[worker].upstream.clone();
        let affected = self.testbed.queue.running();
        let affected = affected.filter(|r| r.held.iter().any(|h| h.upstream == lost));
        let affected: Vec<JobId> = affected.map(|r| r.id).collect();
        for job in affected {
            self.testbed.queue.requeue(job, Duration::ZERO);
        }
        let left = self.testbed.fleet.workers().iter();
        let left = left.filter(|w| w.upstream != lost).cloned();
        self.set_fleet(Fleet::new(left.collect()));
    }

    fn set_fleet(
        &mut self,
        fleet: Fleet,
    ) {
        let workers = fleet.workers().iter();
        let shares = workers.map(|w| {
            let i = self
                .full_fleet
                .index_of(&w.upstream)
                .expect("a worker of the fleet");
            self.shares[i].clone()
        });
        self.testbed.shares = shares.collect();
        self.testbed.fleet = Rc::new(fleet);
    }

    /// Runs a pass, and requeues the jobs that starts evict and those that are preempted.
    fn run_pass(&mut self) {
        let before: Vec<RunningJob> = self.testbed.queue.running().cloned().collect();
        let ejected = self.testbed.queue.ejected(self.testbed.now);
        let outcome = self.testbed.run_pass();
        self.check_starts(&outcome, &before, &ejected);
        for job in outcome.preemptions {
            self.testbed.queue.requeue(job, Duration::ZERO);
        }
    }

    /// Checks each start, and requeues the borrowers whose accelerators it takes.
    fn check_starts(
        &mut self,
        outcome: &PassOutcome,
        before: &[RunningJob],
        ejected: &[UpstreamName],
    ) {
        for start in &outcome.starts {
            assert!(!self.ended.contains(&start.job), "{} was ended", start.job);
            let running = self.testbed.queue.running();
            let job = running.into_iter().find(|r| r.id == start.job);
            let job = job.expect("a started job runs").clone();
            self.check_placement(&job, ejected);
            for other in before.iter().filter(|o| overlap(o, &job)) {
                assert!(other.kind.is_evictable(), "{} cannot be evicted", other.id);
                self.check_reclaims(&job, other);
                self.testbed.queue.requeue(other.id, Duration::ZERO);
            }
        }
    }

    /// Checks that a gang is complete, within its adjacency, and only on workers and accelerators
    /// that it may use.
    fn check_placement(
        &self,
        job: &RunningJob,
        ejected: &[UpstreamName],
    ) {
        let held: u32 = job.held.iter().map(|h| h.accelerators.len()).sum();
        assert_eq!(
            held,
            job.kind.gang.total_accelerators(),
            "{job:?} is not complete"
        );
        let fleet = &self.testbed.fleet;
        let workers = job.held.iter();
        let workers: Vec<usize> = workers
            .map(|h| fleet.index_of(&h.upstream).expect("a live worker"))
            .collect();
        let mut groups = fleet.groups(job.kind.gang.adjacency).iter();
        let is_within_adjacency = groups.any(|g| workers.iter().all(|w| g.contains(w)));
        assert!(
            is_within_adjacency || job.kind.gang.adjacency == Adjacency::Any,
            "{job:?} is spread"
        );
        for (held, worker) in job.held.iter().zip(workers) {
            assert!(
                !ejected.contains(&held.upstream),
                "{job:?} is on an ejected worker"
            );
            assert_eq!(held.accelerators.len() % job.kind.gang.accelerators, 0);
            let shares = &self.testbed.shares[worker];
            let own = GuaranteedShare::of_account(shares, &job.account);
            let others = GuaranteedShare::union_of(shares).without(own);
            let borrows = held.accelerators.intersects(others);
            assert!(
                !borrows || job.kind.is_evictable(),
                "{job:?} blocks a guarantee"
            );
        }
    }

    /// Checks that the accelerators that a start takes from a running job are guaranteed to its own
    /// account.
    fn check_reclaims(
        &self,
        job: &RunningJob,
        other: &RunningJob,
    ) {
        for held in &job.held {
            let i = self
                .testbed
                .fleet
                .index_of(&held.upstream)
                .expect("a live worker");
            let own = GuaranteedShare::of_account(&self.testbed.shares[i], &job.account);
            for taken in other.held.iter().filter(|o| o.upstream == held.upstream) {
                let both = taken.accelerators.intersection(held.accelerators);
                assert!(
                    own.contains(both),
                    "{job:?} evicts {other:?} beyond its share"
                );
            }
        }
    }

    /// Checks that no accelerator is held twice, that quotas hold, and that each unfinished job is
    /// in the queue and explained.
    fn check(&self) {
        let running: Vec<&RunningJob> = self.testbed.queue.running().collect();
        for (i, job) in running.iter().enumerate() {
            let overlapping = running[i + 1..].iter().find(|o| overlap(o, job));
            assert!(overlapping.is_none(), "held twice: {job:?} {overlapping:?}");
        }
        for account in self.testbed.document.accounts.values() {
            let own = running.iter().filter(|r| r.account == account.name);
            let used: u32 = own.map(|r| r.accelerators()).sum();
            assert!(
                used <= account.quota_accelerators,
                "{} is over quota",
                account.name
            );
        }
        assert_eq!(
            running.len() + self.testbed.queue.waiting_len(),
            self.unfinished.len()
        );
        let unknown = self
            .unfinished
            .iter()
            .find(|j| self.testbed.queue.explain(**j).is_none());
        assert!(unknown.is_none(), "{unknown:?} is not explained");
    }

    /// Restores the fleet, then runs passes and finishes the running jobs until no job can start.
    fn finish_all(&mut self) {
        self.set_fleet(self.full_fleet.clone());
        while !self.unfinished.is_empty() {
            self.testbed.advance(Duration::from_secs(12 * 3600));
            self.run_pass();
            self.check();
            let running: Vec<JobId> = self.testbed.queue.running().map(|r| r.id).collect();
            if running.is_empty() {
                break;
            }
            for job in running {
                self.testbed.queue.finish(self.testbed.now, job);
                self.mark_ended(job);
            }
        }
    }
}

/// Returns whether two jobs hold a common accelerator.
fn overlap(
    a: &RunningJob,
    b: &RunningJob,
) -> bool {
    a.id != b.id
        && a.held.iter().any(|x| {
            let mut same = b.held.iter().filter(|y| y.upstream == x.upstream);
            same.any(|y| y.accelerators.intersects(x.accelerators))
        })
}

/// In every scenario gangs are complete and within their adjacency, no accelerator is held twice,
/// guarantees can be reclaimed, quotas hold and no ended job starts. In the end only jobs over their
/// account's quota are left.
#[test]
fn queue_invariants_hold() {
    let steps = prop::collection::vec(any_step(), 1..STEPS);
    let result = runner(CASES).run(&steps, |steps| {
        let mut scenario = Scenario::new();
        for step in &steps {
            scenario.apply(step);
            scenario.check();
        }
        scenario.finish_all();
        let left = scenario
            .unfinished
            .iter()
            .filter_map(|j| scenario.testbed.queue.explain(*j));
        let left: Vec<String> = left.map(|e| e.waits_for.to_string()).collect();
        let over_quota = left.iter().all(|l| l.contains("of 4 accelerators"));
        prop_assert!(over_quota, "{left:?} of {steps:?}");
        prop_assert_eq!(scenario.testbed.view().idle_accelerators(), 12 * 8);
        Ok(())
    });
    result.expect("the invariants hold in every scenario");
}
