//! What must hold, judged by what the fake workers really ran.

use {
    super::test_cluster::TestCluster,
    compio::runtime::spawn,
    limpetquay::{
        connection::{GangId, GuardRequest, PeerHandler},
        prelude::*,
        process::{guard::bounds::PARTIAL_GANG_BOUND, platform::TaskId, state::JobEnd},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How often the oracle looks at the workers.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a task may run after its job's end was recorded, when its owner died or its guard was
/// paused (25 s at most) or cut off: the lead guard announces the gang after 30 s, an entry that
/// reads the log (out for 25 s at most) releases it, and its pieces stop.
const AFTER_END_BOUND: Duration = Duration::from_secs(30 + 25 + 25 + 18);

/// Watches a world for broken promises.
pub struct Oracle {
    world: Rc<TestCluster>,
    violations: RefCell<Vec<String>>,
    partial_since: RefCell<BTreeMap<GangId, Millis>>,
    after_end: RefCell<BTreeMap<JobId, Millis>>,
    sizes: RefCell<BTreeMap<JobId, u32>>,
}

impl Oracle {
    /// Starts to look at the world.
    pub fn start(world: Rc<TestCluster>) -> Rc<Self> {
        let oracle = Rc::new(Self {
            world,
            violations: RefCell::default(),
            partial_since: RefCell::default(),
            after_end: RefCell::default(),
            sizes: RefCell::default(),
        });
        let looking = oracle.clone();
        spawn(async move {
            loop {
                looking.look();
                looking.world.clock.sleep(LOOK_INTERVAL).await;
            }
        })
        .detach();
        oracle
    }

    /// Returns every broken promise so far.
    pub fn violations(&self) -> Vec<String> {
        let mut all = self.violations.borrow().clone();
        for site in &self.world.sites {
            all.extend(site.worker.violations.borrow().iter().cloned());
        }
        all
    }

    pub fn report(
        &self,
        violation: String,
    ) {
        let now = self.world.clock.now();
        self.violations
            .borrow_mut()
            .push(format!("{now}: {violation}"));
    }

    fn tasks(
        &self,
        finished: bool,
    ) -> Vec<TaskId> {
        let sites = self.world.sites.iter();
        let tasks = sites.flat_map(|s| s.worker.tasks(finished));
        tasks.map(|(id, _)| id).collect()
    }

    fn look(&self) {
        let running = self.tasks(false);
        self.check_whole(&running);
        self.check_ended(&running);
    }

    /// No gang runs on a part of its members for longer than the bound.
    fn check_whole(
        &self,
        running: &[TaskId],
    ) {
        let mut present: BTreeMap<GangId, BTreeSet<u32>> = BTreeMap::new();
        let runs: BTreeSet<GangId> = running.iter().map(gang_of).collect();
        for task in running.iter().chain(&self.tasks(true)) {
            if runs.contains(&gang_of(task)) {
                present
                    .entry(gang_of(task))
                    .or_default()
                    .insert(task.member);
            }
        }
        let now = self.world.clock.now();
        let mut since = self.partial_since.borrow_mut();
        since.retain(|gang, _| runs.contains(gang));
        for (gang, members) in present {
            let size = self.gang_size(gang.job);
            if size.is_none_or(|s| s == members.len() as u32) {
                since.remove(&gang);
                continue;
            }
            let begin = *since.entry(gang).or_insert(now);
            if now.since(begin) > PARTIAL_GANG_BOUND {
                since.insert(gang, now);
                self.report(format!("{gang} runs on members {members:?} since {begin}"));
            }
        }
    }

    /// No task of a job runs for long once the job's end stands on the log.
    fn check_ended(
        &self,
        running: &[TaskId],
    ) {
        let now = self.world.clock.now();
        let jobs: BTreeSet<JobId> = running.iter().map(|t| t.job).collect();
        let mut after_end = self.after_end.borrow_mut();
        after_end.retain(|job, _| jobs.contains(job));
        for job in jobs {
            if self.end_of(job).is_none() {
                continue;
            }
            let begin = *after_end.entry(job).or_insert(now);
            if now.since(begin) > AFTER_END_BOUND {
                after_end.insert(job, now);
                self.report(format!("{job} still runs {now} after its end at {begin}"));
            }
        }
    }

    /// Returns the members of a job's gang; `None` while no entry has read of the job.
    fn gang_size(
        &self,
        job: JobId,
    ) -> Option<u32> {
        let mut sizes = self.sizes.borrow_mut();
        for host in self.world.entries.borrow().iter() {
            let document = host.entry.document();
            let fold = host.entry.state.fold();
            let kind = fold.job(job).map(|j| j.spec.kind.clone());
            if let Some(kind) = kind.and_then(|k| document.job_kinds.get(&k).cloned()) {
                sizes.insert(job, kind.gang.members);
            }
        }
        sizes.get(&job).copied()
    }

    fn end_of(
        &self,
        job: JobId,
    ) -> Option<JobEnd> {
        let host = self.world.entries.borrow()[0].clone();
        let fold = host.entry.state.fold();
        fold.job(job)?.end.clone()
    }

    /// A job that is told to have finished did finish, with all members of one start.
    pub fn check_results(&self) {
        let mut finished: BTreeMap<GangId, BTreeSet<u32>> = BTreeMap::new();
        let sites = self.world.sites.iter();
        for task in sites.flat_map(|s| s.worker.all_finished()) {
            finished
                .entry(gang_of(&task))
                .or_default()
                .insert(task.member);
        }
        for job in self.world.jobs() {
            let size = self.gang_size(job);
            let whole = |(gang, members): (&GangId, &BTreeSet<u32>)| {
                gang.job == job && Some(members.len() as u32) == size
            };
            let told = matches!(self.end_of(job), Some(JobEnd::Finished(_)));
            if told && !finished.iter().any(whole) {
                self.report(format!("{job} was told finished, but no start of it was"));
            }
        }
    }

    /// Nothing runs or is held anywhere, and every job has ended.
    pub fn check_nothing_leaked(&self) {
        for job in self.world.jobs() {
            if self.end_of(job).is_none() {
                self.report(format!("{job} has no end"));
            }
        }
        for site in &self.world.sites {
            let host = self.world.net.host(site.address).expect("a guard");
            let told = host.guard.next_announcement(site.address);
            if !host.guard.gangs().is_idle() || told.accelerators_free != told.accelerators {
                let pieces = host.guard.gangs().pieces();
                self.report(format!("{} still holds {pieces:#?}", told.upstream));
            }
        }
        for task in self.tasks(false) {
            self.report(format!("{task} still runs"));
        }
    }

    /// The owner of a share gets as many unused accelerators within the bound, unless work that is
    /// never evicted was there before the layout; afterwards it gives the share back.
    pub async fn probe_share(
        &self,
        site: usize,
        probe: u64,
    ) {
        let site = &self.world.sites[site];
        let Some(host) = self.world.net.host(site.address) else {
            return;
        };
        let now = self.world.clock.now();
        let quiet = Duration::from_secs(8);
        let settled = now.since(site.guard_disrupted_at.get()) > quiet
            && now.since(site.worker.ill.get()) > quiet
            && site.worker.health.get() != super::fake_worker::Health::Silent
            && host.node.is_running();
        let unmet = site.metrics.borrow().gangs.unmet_accelerators.get();
        let owner: AccountName = "owner".into();
        let share = host
            .guard
            .next_announcement(site.address)
            .guaranteed_to(&owner);
        if !settled || unmet > 0 || share.is_empty() {
            return;
        }
        let call = super::step::probe_call(probe, &owner, share.len());
        let gang = call.gang;
        let reserve = GuardRequest::Gang(call.into());
        let reply = host.guard.clone().handle(reserve).await;
        let took = self.world.clock.now().since(now);
        let running = site.worker.tasks(false);
        if host.node.is_running() && site.worker.ill.get() < now {
            let given = super::step::reserved(&reply);
            let in_use = running.iter().any(|(_, used)| used.intersects(given));
            if given.len() != share.len() || in_use {
                self.report(format!(
                    "{} was not reclaimed in {took:?}: {reply:?}, still used: {in_use}",
                    site.address
                ));
            }
        }
        let release = limpetquay::connection::GangRequest::Release { gang, ownership: 1 };
        host.guard.clone().handle(GuardRequest::Gang(release)).await;
    }
}

fn gang_of(task: &TaskId) -> GangId {
    GangId {
        job: task.job,
        term: task.term,
    }
}
