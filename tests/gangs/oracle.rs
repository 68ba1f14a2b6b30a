//! Checks invariants of gangs and guarantees against the tasks that the fake workers ran.

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

/// The interval between two checks of the workers.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a task may run after its job's end was recorded, when the owner died or the guard was
/// paused (25 s at most) or partitioned: the gang's leader announces the gang after 30 s, an entry
/// that reads the log (unavailable for 25 s at most) releases it, and its pieces stop within 18 s.
const AFTER_END_BOUND: Duration = Duration::from_secs(30 + 25 + 25 + 18);

/// Checks a cluster for violations of invariants.
pub struct Oracle {
    cluster: Rc<TestCluster>,
    violations: RefCell<Vec<String>>,
    partial_since: RefCell<BTreeMap<GangId, Millis>>,
    after_end: RefCell<BTreeMap<JobId, Millis>>,
    gang_sizes: RefCell<BTreeMap<JobId, u32>>,
}

impl Oracle {
    /// Starts checking the cluster periodically.
    pub fn start(cluster: Rc<TestCluster>) -> Rc<Self> {
        let oracle = Rc::new(Self {
            cluster,
            violations: RefCell::default(),
            partial_since: RefCell::default(),
            after_end: RefCell::default(),
            gang_sizes: RefCell::default(),
        });
        let checker = oracle.clone();
        spawn(async move {
            loop {
                checker.check_running_tasks();
                checker.cluster.clock.sleep(CHECK_INTERVAL).await;
            }
        })
        .detach();
        oracle
    }

    /// Returns all violations so far.
    pub fn violations(&self) -> Vec<String> {
        let mut all = self.violations.borrow().clone();
        for site in &self.cluster.sites {
            all.extend(site.worker.violations.borrow().iter().cloned());
        }
        all
    }

    pub fn report(
        &self,
        violation: String,
    ) {
        let now = self.cluster.clock.now();
        self.violations
            .borrow_mut()
            .push(format!("{now}: {violation}"));
    }

    fn tasks(
        &self,
        finished: bool,
    ) -> Vec<TaskId> {
        let sites = self.cluster.sites.iter();
        let tasks = sites.flat_map(|s| s.worker.tasks(finished));
        tasks.map(|(id, _)| id).collect()
    }

    fn check_running_tasks(&self) {
        let running = self.tasks(false);
        self.check_partial_gangs(&running);
        self.check_ended_jobs(&running);
    }

    /// Checks that no gang runs with only some of its members for longer than
    /// [`PARTIAL_GANG_BOUND`].
    fn check_partial_gangs(
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
        let now = self.cluster.clock.now();
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

    /// Checks that no task runs for longer than [`AFTER_END_BOUND`] once its job's end is recorded
    /// in the log.
    fn check_ended_jobs(
        &self,
        running: &[TaskId],
    ) {
        let now = self.cluster.clock.now();
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
                self.report(format!(
                    "{job} still runs at {now} though it had ended at {begin}"
                ));
            }
        }
    }

    /// Returns the number of members of a job's gang; `None` while no entry has read the job's
    /// record.
    fn gang_size(
        &self,
        job: JobId,
    ) -> Option<u32> {
        let mut sizes = self.gang_sizes.borrow_mut();
        for host in self.cluster.entries.borrow().iter() {
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
        let host = self.cluster.entries.borrow()[0].clone();
        let fold = host.entry.state.fold();
        fold.job(job)?.end.clone()
    }

    /// Checks that for each job recorded as finished, all members of one start finished.
    pub fn check_results(&self) {
        let mut finished: BTreeMap<GangId, BTreeSet<u32>> = BTreeMap::new();
        let sites = self.cluster.sites.iter();
        for task in sites.flat_map(|s| s.worker.all_finished_tasks()) {
            finished
                .entry(gang_of(&task))
                .or_default()
                .insert(task.member);
        }
        for job in self.cluster.jobs() {
            let size = self.gang_size(job);
            let is_complete = |(gang, members): (&GangId, &BTreeSet<u32>)| {
                gang.job == job && Some(members.len() as u32) == size
            };
            let is_finished = matches!(self.end_of(job), Some(JobEnd::Finished(_)));
            if is_finished && !finished.iter().any(is_complete) {
                self.report(format!(
                    "{job} is recorded as finished, but no start of it finished"
                ));
            }
        }
    }

    /// Checks that no task runs, no accelerator is held and every job has ended.
    pub fn check_nothing_leaked(&self) {
        for job in self.cluster.jobs() {
            if self.end_of(job).is_none() {
                self.report(format!("{job} has no recorded end"));
            }
        }
        for site in &self.cluster.sites {
            let host = self
                .cluster
                .net
                .host(site.address)
                .expect("a guard at every site");
            let announcement = host.guard.next_announcement(site.address);
            if !host.guard.gangs().is_idle()
                || announcement.accelerators_free != announcement.accelerators
            {
                let pieces = host.guard.gangs().pieces();
                self.report(format!(
                    "{} still holds accelerators or gangs: {pieces:#?}",
                    announcement.upstream
                ));
            }
        }
        for task in self.tasks(false) {
            self.report(format!("{task} still runs"));
        }
    }

    /// Checks that the owner of a share can reserve as many accelerators within the reclaim bound
    /// and that no task uses them, and releases them afterwards. Does nothing shortly after a
    /// disturbance of the site, or while work that is never evicted and is older than the layout
    /// holds guaranteed accelerators.
    pub async fn probe_share(
        &self,
        site: usize,
        probe: u64,
    ) {
        let site = &self.cluster.sites[site];
        let Some(host) = self.cluster.net.host(site.address) else {
            return;
        };
        let now = self.cluster.clock.now();
        let settle_time = Duration::from_secs(8);
        let settled = now.since(site.guard_disrupted_at.get()) > settle_time
            && now.since(site.worker.last_fault_at.get()) > settle_time
            && site.worker.health.get() != super::fake_worker::Health::Unresponsive
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
        let elapsed = self.cluster.clock.now().since(now);
        let running = site.worker.tasks(false);
        if host.node.is_running() && site.worker.last_fault_at.get() < now {
            let reserved = super::step::reserved(&reply);
            let in_use = running.iter().any(|(_, used)| used.intersects(reserved));
            if reserved.len() != share.len() || in_use {
                self.report(format!(
                    "share on {} not reclaimed in {elapsed:?}: {reply:?}, in use: {in_use}",
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
