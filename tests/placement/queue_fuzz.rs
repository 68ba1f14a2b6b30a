//! Random courses of a queue, checked after each step against a plain account of who holds what.

use {
    crate::{fuzz::runner, layout::fleet, queue::QueueWorld},
    limpetquay::{
        connection::GuaranteedShare,
        prelude::*,
        process::job_queue::{RunningJob, TurnOutcome},
        version::{Adjacency, Fleet},
    },
    proptest::prelude::*,
    std::collections::BTreeSet,
};

const CASES: u32 = 60;

/// The most steps of one course.
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

/// One step.
#[derive(Clone, Debug)]
enum Step {
    Add { account: usize, kind: usize },
    Cancel { pick: usize },
    CancelAll,
    Finish { pick: usize },
    Fail { pick: usize },
    PutBack { pick: usize },
    LoseWorker { worker: usize },
    RegainWorkers,
    Turn { after_s: u64 },
}

fn any_step() -> impl Strategy<Value = Step> {
    let add = (0..ACCOUNTS.len(), 0..KINDS.len());
    prop_oneof![
        8 => add.prop_map(|(account, kind)| Step::Add { account, kind }),
        2 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        1 => Just(Step::CancelAll),
        4 => any::<usize>().prop_map(|pick| Step::Finish { pick }),
        3 => any::<usize>().prop_map(|pick| Step::Fail { pick }),
        2 => any::<usize>().prop_map(|pick| Step::PutBack { pick }),
        1 => (0_usize..12).prop_map(|worker| Step::LoseWorker { worker }),
        1 => Just(Step::RegainWorkers),
        8 => (0_u64..4000).prop_map(|after_s| Step::Turn { after_s }),
    ]
}

/// A queue with the jobs that were told to be gone.
struct Course {
    world: QueueWorld,
    whole: Fleet,
    shares: Vec<Vec<GuaranteedShare>>,
    gone: BTreeSet<JobId>,
    open: BTreeSet<JobId>,
    next: u64,
}

impl Course {
    fn new() -> Self {
        let whole = fleet(2, 8);
        let mut world = QueueWorld::new(whole.clone());
        world.guarantee(0, "a", 8);
        world.guarantee(4, "b", 4);
        world.guarantee(7, "c", 6);
        Self {
            shares: world.shares.clone(),
            world,
            whole,
            gone: BTreeSet::new(),
            open: BTreeSet::new(),
            next: 1,
        }
    }

    fn pick_running(
        &self,
        pick: usize,
    ) -> Option<RunningJob> {
        let running: Vec<&RunningJob> = self.world.queue.running().collect();
        running
            .get(pick % running.len().max(1))
            .map(|r| (*r).clone())
    }

    fn take(
        &mut self,
        step: &Step,
    ) {
        match step {
            Step::Add { account, kind } => {
                self.world.add(self.next, ACCOUNTS[*account], KINDS[*kind]);
                self.open.insert(JobId(self.next));
                self.next += 1;
            }
            Step::Cancel { pick } => {
                let job = self.open.iter().nth(pick % self.open.len().max(1)).copied();
                job.into_iter().for_each(|j| self.cancel(j));
            }
            Step::CancelAll => self.open.clone().into_iter().for_each(|j| self.cancel(j)),
            Step::Finish { pick } => {
                if let Some(job) = self.pick_running(*pick) {
                    self.world.queue.finished(self.world.now, job.id);
                    self.end(job.id);
                }
            }
            Step::Fail { pick } => {
                if let Some(job) = self.pick_running(*pick) {
                    let now = self.world.now;
                    let worker = &job.held[0].upstream;
                    self.world.queue.failed_on(now, job.id, worker, 12);
                    self.world.queue.requeue(job.id, Duration::ZERO);
                }
            }
            Step::PutBack { pick } => {
                if let Some(job) = self.pick_running(*pick) {
                    let progress = job.elapsed(self.world.now);
                    self.world.queue.requeue(job.id, progress);
                }
            }
            Step::LoseWorker { worker } => self.lose(*worker),
            Step::RegainWorkers => self.set_fleet(self.whole.clone()),
            Step::Turn { after_s } => {
                self.world.after(Duration::from_secs(*after_s));
                self.turn();
            }
        }
    }

    fn cancel(
        &mut self,
        job: JobId,
    ) {
        self.world.queue.remove(job);
        self.end(job);
    }

    fn end(
        &mut self,
        job: JobId,
    ) {
        self.open.remove(&job);
        self.gone.insert(job);
    }

    /// Loses a worker with the gangs that have a member there.
    fn lose(
        &mut self,
        worker: usize,
    ) {
        let lost = self.whole.workers()[worker].upstream.clone();
        let hit = self.world.queue.running();
        let hit = hit.filter(|r| r.held.iter().any(|h| h.upstream == lost));
        let hit: Vec<JobId> = hit.map(|r| r.id).collect();
        for job in hit {
            self.world.queue.requeue(job, Duration::ZERO);
        }
        let left = self.world.fleet.workers().iter();
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
                .whole
                .index_of(&w.upstream)
                .expect("a worker of the fleet");
            self.shares[i].clone()
        });
        self.world.shares = shares.collect();
        self.world.fleet = Rc::new(fleet);
    }

    /// Takes a turn: what a start evicts and what gives way goes back to the queue.
    fn turn(&mut self) {
        let before: Vec<RunningJob> = self.world.queue.running().cloned().collect();
        let ejected = self.world.queue.ejected(self.world.now);
        let outcome = self.world.turn();
        self.check_starts(&outcome, &before, &ejected);
        for job in outcome.give_way {
            self.world.queue.requeue(job, Duration::ZERO);
        }
    }

    /// Checks each start, and puts the borrowers back whose accelerators it takes.
    fn check_starts(
        &mut self,
        outcome: &TurnOutcome,
        before: &[RunningJob],
        ejected: &[UpstreamName],
    ) {
        for start in &outcome.starts {
            assert!(!self.gone.contains(&start.job), "{} was ended", start.job);
            let running = self.world.queue.running();
            let job = running.into_iter().find(|r| r.id == start.job);
            let job = job.expect("a started job runs").clone();
            self.check_place(&job, ejected);
            for other in before.iter().filter(|o| overlap(o, &job)) {
                assert!(other.kind.is_evictable(), "{} cannot be evicted", other.id);
                self.check_reclaims(&job, other);
                self.world.queue.requeue(other.id, Duration::ZERO);
            }
        }
    }

    /// Checks that a gang is whole, near enough together, and only where it may be.
    fn check_place(
        &self,
        job: &RunningJob,
        ejected: &[UpstreamName],
    ) {
        let held: u32 = job.held.iter().map(|h| h.accelerators.len()).sum();
        assert_eq!(
            held,
            job.kind.gang.total_accelerators(),
            "{job:?} is not whole"
        );
        let fleet = &self.world.fleet;
        let workers = job.held.iter();
        let workers: Vec<usize> = workers
            .map(|h| fleet.index_of(&h.upstream).expect("a live worker"))
            .collect();
        let mut groups = fleet.groups(job.kind.gang.adjacency).iter();
        let near = groups.any(|g| workers.iter().all(|w| g.contains(w)));
        assert!(
            near || job.kind.gang.adjacency == Adjacency::Any,
            "{job:?} is spread"
        );
        for (held, worker) in job.held.iter().zip(workers) {
            assert!(
                !ejected.contains(&held.upstream),
                "{job:?} is on an ejected worker"
            );
            assert_eq!(held.accelerators.len() % job.kind.gang.accelerators, 0);
            let shares = &self.world.shares[worker];
            let own = GuaranteedShare::of_account(shares, &job.account);
            let others = GuaranteedShare::union_of(shares).without(own);
            let borrows = held.accelerators.intersects(others);
            assert!(
                !borrows || job.kind.is_evictable(),
                "{job:?} blocks a guarantee"
            );
        }
    }

    /// Checks that what a start takes of a running job is guaranteed to its own account.
    fn check_reclaims(
        &self,
        job: &RunningJob,
        other: &RunningJob,
    ) {
        for held in &job.held {
            let i = self
                .world
                .fleet
                .index_of(&held.upstream)
                .expect("a live worker");
            let own = GuaranteedShare::of_account(&self.world.shares[i], &job.account);
            for taken in other.held.iter().filter(|o| o.upstream == held.upstream) {
                let both = taken.accelerators.intersection(held.accelerators);
                assert!(
                    own.contains(both),
                    "{job:?} evicts {other:?} beyond its share"
                );
            }
        }
    }

    /// Checks that nothing is held twice, and quotas.
    fn check(&self) {
        let running: Vec<&RunningJob> = self.world.queue.running().collect();
        for (i, job) in running.iter().enumerate() {
            let twice = running[i + 1..].iter().find(|o| overlap(o, job));
            assert!(twice.is_none(), "held twice: {job:?} {twice:?}");
        }
        for account in self.world.document.accounts.values() {
            let own = running.iter().filter(|r| r.account == account.name);
            let used: u32 = own.map(|r| r.accelerators()).sum();
            assert!(
                used <= account.quota_accelerators,
                "{} is over quota",
                account.name
            );
        }
        assert_eq!(
            running.len() + self.world.queue.waiting_len(),
            self.open.len()
        );
        let unknown = self
            .open
            .iter()
            .find(|j| self.world.queue.explain(**j).is_none());
        assert!(unknown.is_none(), "{unknown:?} is not explained");
    }

    /// Finishes everything that runs until all that can run has run.
    fn finish(&mut self) {
        self.set_fleet(self.whole.clone());
        while !self.open.is_empty() {
            self.world.after(Duration::from_secs(12 * 3600));
            self.turn();
            self.check();
            let running: Vec<JobId> = self.world.queue.running().map(|r| r.id).collect();
            if running.is_empty() {
                break;
            }
            for job in running {
                self.world.queue.finished(self.world.now, job);
                self.end(job);
            }
        }
    }
}

/// Tells whether two jobs hold a common accelerator.
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

/// Whatever comes, gangs are whole and near, nothing is held twice, shares can be reclaimed,
/// quotas hold, no ended job starts, and in the end only jobs over their quota are left.
#[test]
fn queues_keep_their_promises() {
    let steps = prop::collection::vec(any_step(), 1..STEPS);
    let result = runner(CASES).run(&steps, |steps| {
        let mut course = Course::new();
        for step in &steps {
            course.take(step);
            course.check();
        }
        course.finish();
        let left = course
            .open
            .iter()
            .filter_map(|j| course.world.queue.explain(*j));
        let left: Vec<String> = left.map(|e| e.waits_for.to_string()).collect();
        let over_quota = left.iter().all(|l| l.contains("of 4 accelerators"));
        prop_assert!(over_quota, "{left:?} of {steps:?}");
        prop_assert_eq!(course.world.view().idle(), 12 * 8);
        Ok(())
    });
    result.expect("every course holds");
}
