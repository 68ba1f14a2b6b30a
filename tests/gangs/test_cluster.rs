//! A simulated cluster: guards and entries on a fake network, with a fake log and fake workers.

use {
    super::{
        fake_log::{FakeLog, LogHandle},
        fake_net::{FakeDialer, FakeNet, GuardHost},
        fake_worker::{FakeWorker, WorkerHandle},
        node::{Node, NodeClock},
    },
    compio::runtime::spawn,
    limpetquay::{
        connection::{GuaranteedShare, GuardRequest, PeerHandler},
        prelude::*,
        process::{
            clock::VirtualClock,
            entry::{Entry, EntryBuilder, release_orphans, run_owned_jobs},
            guard::Guard,
            metrics::Metrics,
            settings::{EntrySettings, GuardSettings},
            state::{DocumentRecord, JobRecord, RecordBody, State},
        },
        request::{IdGenerator, JobSubmission, LeastWaitRouting, submit_job},
    },
    std::cell::Cell,
};

pub const WORKER_COUNT: usize = 6;
pub const ENTRY_COUNT: usize = 2;
pub const ACCELERATORS_PER_WORKER: u32 = 4;
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const TAKEOVER_INTERVAL: Duration = Duration::from_secs(3);

/// One worker instance and the guard process beside it.
pub struct Site {
    pub address: SocketAddr,
    pub worker: Rc<FakeWorker>,
    pub metrics: RefCell<Rc<Metrics>>,
    /// When the guard process was last started, killed or paused.
    pub guard_disrupted_at: Cell<Millis>,
    incarnation: Cell<u64>,
}

/// One incarnation of an entry.
#[derive(Clone)]
pub struct EntryHost {
    pub entry: Rc<Entry>,
    pub node: Rc<Node>,
    pub address: SocketAddr,
}

pub struct TestCluster {
    pub clock: Rc<VirtualClock>,
    pub net: Rc<FakeNet>,
    pub log: Rc<FakeLog>,
    pub sites: Vec<Site>,
    pub entries: RefCell<Vec<EntryHost>>,
    pub layout: RefCell<(u64, Vec<Vec<GuaranteedShare>>)>,
    last_epoch: Cell<u64>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16))
}

impl TestCluster {
    /// Starts all processes, submits the service document and waits until the guards allocate
    /// accelerators.
    pub async fn start(
        clock: Rc<VirtualClock>,
        seed: u64,
    ) -> Rc<Self> {
        let node = Node::new(clock.clone());
        let sites = (0..WORKER_COUNT).map(|i| Site {
            address: address(i),
            worker: FakeWorker::new(node.clone()),
            metrics: RefCell::default(),
            guard_disrupted_at: Cell::default(),
            incarnation: Cell::new(0),
        });
        let sites = sites.collect();
        let cluster = Rc::new(Self {
            clock,
            net: FakeNet::new(node, seed),
            log: Rc::default(),
            sites,
            entries: RefCell::default(),
            layout: RefCell::new((0, vec![Vec::new(); WORKER_COUNT])),
            last_epoch: Cell::new(0),
        });
        for site in 0..WORKER_COUNT {
            cluster.start_guard(site);
        }
        for i in 0..ENTRY_COUNT {
            let host = cluster.start_entry(i);
            cluster.entries.borrow_mut().push(host);
        }
        spawn(cluster.clone().run_announcements()).detach();
        spawn(cluster.clone().reassign_orphaned_jobs()).detach();
        let first_entry = cluster.entries.borrow()[0].entry.clone();
        let document = RecordBody::Document(DocumentRecord {
            follows: VersionNumber::default(),
            text: include_str!("service.ini").into(),
            operator: "test".into(),
            submitted_ms: 0,
        });
        first_entry
            .state
            .append(document)
            .await
            .expect("the log is available");
        cluster.sleep(7000).await;
        cluster
    }

    pub async fn sleep(
        &self,
        ms: u64,
    ) {
        self.clock.sleep(Duration::from_millis(ms)).await;
    }

    /// Starts a new guard process at a site, whose last one is dead.
    pub fn start_guard(
        &self,
        site: usize,
    ) {
        let at = &self.sites[site];
        let node = Node::new(self.clock.clone());
        at.incarnation.set(at.incarnation.get() + 1);
        at.guard_disrupted_at.set(self.clock.now());
        let text = format!(
            "[guard]\nname = w{site}\nregion = north\ndata_centre = north-1\nrack = rack-{}\n\
             listen = {}\nworker = 127.0.0.1:1\nentries = 127.0.0.1:2\nslots = 8\n\
             connections = 64\naccelerators = {ACCELERATORS_PER_WORKER}\ndrain_timeout = 1s\n",
            site / 2,
            at.address,
        );
        let settings = GuardSettings::parse("guard.ini", &text).expect("valid settings");
        let metrics = Rc::new(Metrics::default());
        *at.metrics.borrow_mut() = metrics.clone();
        let guard = Rc::new(Guard::with_dialer(
            settings,
            Rc::new(NodeClock(node.clone())),
            metrics,
            Rc::new(WorkerHandle {
                worker: at.worker.clone(),
                node: node.clone(),
            }),
            at.incarnation.get(),
            self.dialer(&node, at.address),
        ));
        spawn(guard.clone().run_expiry()).detach();
        self.net.set_host(at.address, GuardHost { guard, node });
        self.send_layout(site);
    }

    fn dialer(
        &self,
        node: &Rc<Node>,
        address: SocketAddr,
    ) -> Rc<FakeDialer> {
        Rc::new(FakeDialer {
            net: self.net.clone(),
            node: node.clone(),
            address,
        })
    }

    fn start_entry(
        &self,
        number: usize,
    ) -> EntryHost {
        let node = Node::new(self.clock.clone());
        let text = format!(
            "[entry]\nname = e{number}\nregion = north\ndata_centre = north-1\n\
             http = 127.0.0.1:3\nannouncements = 127.0.0.1:4\nlog = 127.0.0.1:5\n\
             drain_timeout = 1s\n"
        );
        let settings = EntrySettings::parse("entry.ini", &text).expect("valid settings");
        let clock: Rc<dyn Clock> = Rc::new(NodeClock(node.clone()));
        self.last_epoch.set(self.last_epoch.get() + 1);
        let epoch = self.last_epoch.get();
        let log = Rc::new(LogHandle {
            log: self.log.clone(),
            node: node.clone(),
        });
        let state = State::new(log, clock.clone(), settings.name.clone(), epoch);
        let address = address(100 + number);
        let parts = EntryBuilder {
            settings,
            announcement_address: address,
            clock,
            metrics: Rc::new(Metrics::default()),
            state,
            dialer: self.dialer(&node, address),
            routing: Rc::new(LeastWaitRouting::new(epoch)),
            ids: IdGenerator::with_epoch(epoch),
            jitter_seed: epoch,
        };
        let entry = Rc::new(parts.build());
        let queue_entry = entry.clone();
        spawn(async move { queue_entry.scheduler.run(&queue_entry).await }).detach();
        let state = entry.state.clone();
        spawn(async move { state.sync_with_log().await }).detach();
        spawn(run_owned_jobs(entry.clone())).detach();
        spawn(release_orphans(entry.clone())).detach();
        EntryHost {
            entry,
            node,
            address,
        }
    }

    /// Delivers the announcements of all running guards to all running entries at a fixed interval;
    /// never returns.
    async fn run_announcements(self: Rc<Self>) {
        loop {
            self.deliver_announcements();
            self.clock.sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    fn deliver_announcements(&self) {
        let now = self.clock.now();
        for host in self.entries.borrow().iter().filter(|h| h.node.is_running()) {
            for site in &self.sites {
                let guard = self.net.host(site.address).filter(|g| g.node.is_running());
                let guard = guard.filter(|_| !self.net.is_partitioned(host.address, site.address));
                if let Some(guard) = guard {
                    let announcement = guard.guard.next_announcement(site.address);
                    host.entry
                        .members
                        .borrow_mut()
                        .apply_announcement(now, announcement);
                }
            }
        }
    }

    /// Sends a new layout to every guard.
    pub fn set_layout(
        &self,
        shares: Vec<Vec<GuaranteedShare>>,
    ) {
        let number = self.layout.borrow().0 + 1;
        *self.layout.borrow_mut() = (number, shares);
        (0..WORKER_COUNT).for_each(|site| self.send_layout(site));
    }

    fn send_layout(
        &self,
        site: usize,
    ) {
        let (number, shares) = self.layout.borrow().clone();
        let Some(host) = self.net.host(self.sites[site].address) else {
            return;
        };
        let call = GuardRequest::Layout {
            number,
            guaranteed: shares[site].clone(),
        };
        spawn(async move {
            host.node.wait_until_running().await;
            host.guard.clone().handle(call).await;
        })
        .detach();
    }

    /// Submits a job through an entry; it may be rejected while the log is unavailable.
    pub fn submit(
        &self,
        entry: usize,
        account: &str,
        kind: &str,
        payload: &str,
    ) {
        let entry = self.entries.borrow()[entry].entry.clone();
        let account = account.into();
        let submission = JobSubmission {
            kind: kind.into(),
            payload: payload.to_owned(),
        };
        spawn(async move {
            let _ = submit_job(&entry, &account, submission).await;
        })
        .detach();
    }

    /// Cancels a job through an entry.
    pub fn cancel(
        &self,
        entry: usize,
        job: JobId,
    ) {
        let entry = self.entries.borrow()[entry].entry.clone();
        let record = RecordBody::Job(JobRecord::Cancelled { job });
        spawn(async move {
            let _ = entry.state.append(record).await;
        })
        .detach();
    }

    /// Kills an entry's process and starts a new one without its memory.
    pub fn restart_entry(
        &self,
        number: usize,
    ) {
        self.entries.borrow()[number].node.kill();
        let host = self.start_entry(number);
        self.entries.borrow_mut()[number] = host;
    }

    /// Makes an entry take over a job, whether or not its owner is dead.
    pub fn take_over(
        &self,
        new_owner: usize,
        job: JobId,
    ) {
        let new_owner = self.entries.borrow()[new_owner].entry.clone();
        let follows = new_owner.state.fold().job(job).map(|j| j.ownership);
        let Some(follows) = follows else {
            return;
        };
        let record = RecordBody::Job(JobRecord::OwnerChanged {
            job,
            owner: new_owner.settings.name.clone(),
            follows,
        });
        spawn(async move {
            let _ = new_owner.state.append(record).await;
        })
        .detach();
    }

    /// Makes a running entry take over the jobs whose owner is dead, at a fixed interval; never
    /// returns.
    async fn reassign_orphaned_jobs(self: Rc<Self>) {
        loop {
            self.clock.sleep(TAKEOVER_INTERVAL).await;
            let hosts = self.entries.borrow().clone();
            let new_owner = (0..ENTRY_COUNT).find(|i| hosts[*i].node.is_running());
            for job in new_owner
                .map(|h| orphaned_jobs(&hosts[h], &hosts))
                .iter()
                .flatten()
            {
                self.take_over(new_owner.unwrap_or_default(), *job);
            }
        }
    }

    /// Returns the IDs of the jobs that the first entry knows.
    pub fn jobs(&self) -> Vec<JobId> {
        let host = self.entries.borrow()[0].clone();
        let fold = host.entry.state.fold();
        fold.jobs().map(|j| j.spec.id).collect()
    }
}

/// Returns the open jobs that `new_owner` knows and whose owner is no current entry process.
fn orphaned_jobs(
    new_owner: &EntryHost,
    hosts: &[EntryHost],
) -> Vec<JobId> {
    let epochs: Vec<u64> = hosts.iter().map(|h| h.entry.state.epoch()).collect();
    let fold = new_owner.entry.state.fold();
    let orphaned = fold
        .jobs()
        .filter(|j| j.end.is_none() && !epochs.contains(&j.owner_epoch));
    orphaned.map(|j| j.spec.id).collect()
}
