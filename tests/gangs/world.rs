//! Guards, workers and entries between the fakes.

use {
    super::{
        fake_log::{FakeLog, LogHandle},
        fake_net::{FakeDialer, GuardHost, Net},
        fake_worker::{FakeWorker, WorkerHandle},
        node::{Node, NodeClock},
    },
    compio::runtime::spawn,
    limpetquay::{
        connection::{GuaranteedShare, GuardRequest, PeerHandler},
        prelude::*,
        process::{
            clock::VirtualClock,
            entry::{Entry, EntryParts, release_orphans, run_jobs},
            guard::Guard,
            metrics::Metrics,
            settings::{EntrySettings, GuardSettings},
            state::{DocumentRecord, JobRecord, RecordBody, State},
        },
        request::{IdGenerator, JobSubmission, LeastWaitRouting, submit_job},
    },
    std::cell::Cell,
};

pub const WORKERS: usize = 6;
pub const ENTRIES: usize = 2;
pub const ACCELERATORS: u32 = 4;
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const TAKEOVER_INTERVAL: Duration = Duration::from_secs(3);

/// One worker instance with the guard process beside it.
pub struct Site {
    pub address: SocketAddr,
    pub worker: Rc<FakeWorker>,
    pub metrics: RefCell<Rc<Metrics>>,
    /// When the guard's process last started, died, or was paused.
    pub disturbed: Cell<Millis>,
    incarnation: Cell<u64>,
}

/// One start of an entry.
#[derive(Clone)]
pub struct EntryHost {
    pub entry: Rc<Entry>,
    pub node: Rc<Node>,
    pub address: SocketAddr,
}

pub struct World {
    pub clock: Rc<VirtualClock>,
    pub net: Rc<Net>,
    pub log: Rc<FakeLog>,
    pub sites: Vec<Site>,
    pub entries: RefCell<Vec<EntryHost>>,
    pub layout: RefCell<(u64, Vec<Vec<GuaranteedShare>>)>,
    starts: Cell<u64>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16))
}

impl World {
    /// Starts everything and waits until guards give accelerators out.
    pub async fn start(
        clock: Rc<VirtualClock>,
        seed: u64,
    ) -> Rc<Self> {
        let node = Node::new(clock.clone());
        let sites = (0..WORKERS).map(|i| Site {
            address: address(i),
            worker: FakeWorker::new(node.clone()),
            metrics: RefCell::default(),
            disturbed: Cell::default(),
            incarnation: Cell::new(0),
        });
        let sites = sites.collect();
        let world = Rc::new(Self {
            clock,
            net: Net::new(node, seed),
            log: Rc::default(),
            sites,
            entries: RefCell::default(),
            layout: RefCell::new((0, vec![Vec::new(); WORKERS])),
            starts: Cell::new(0),
        });
        for site in 0..WORKERS {
            world.start_guard(site);
        }
        for i in 0..ENTRIES {
            let host = world.new_entry(i);
            world.entries.borrow_mut().push(host);
        }
        spawn(world.clone().announce()).detach();
        spawn(world.clone().replace_owners()).detach();
        let first = world.entries.borrow()[0].entry.clone();
        let document = RecordBody::Document(DocumentRecord {
            follows: VersionNumber::default(),
            text: include_str!("service.ini").into(),
            operator: "test".into(),
            submitted_ms: 0,
        });
        first.state.append(document).await.expect("the log is up");
        world.sleep(7000).await;
        world
    }

    pub async fn sleep(
        &self,
        ms: u64,
    ) {
        self.clock.sleep(Duration::from_millis(ms)).await;
    }

    /// Starts the guard of a site, after its last process is dead.
    pub fn start_guard(
        &self,
        site: usize,
    ) {
        let at = &self.sites[site];
        let node = Node::new(self.clock.clone());
        at.incarnation.set(at.incarnation.get() + 1);
        at.disturbed.set(self.clock.now());
        let text = format!(
            "[guard]\nname = w{site}\nregion = north\ndata_centre = north-1\nrack = rack-{}\n\
             listen = {}\nworker = 127.0.0.1:1\nentries = 127.0.0.1:2\nslots = 8\n\
             connections = 64\naccelerators = {ACCELERATORS}\ndrain_timeout = 1s\n",
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

    fn new_entry(
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
        self.starts.set(self.starts.get() + 1);
        let epoch = self.starts.get();
        let log = Rc::new(LogHandle {
            log: self.log.clone(),
            node: node.clone(),
        });
        let state = State::new(log, clock.clone(), settings.name.clone(), epoch);
        let address = address(100 + number);
        let parts = EntryParts {
            settings,
            address,
            clock,
            metrics: Rc::new(Metrics::default()),
            state,
            dialer: self.dialer(&node, address),
            routing: Rc::new(LeastWaitRouting::new(epoch)),
            ids: IdGenerator::with_epoch(epoch),
            seed: epoch,
        };
        let entry = Rc::new(parts.build());
        let turns = entry.clone();
        spawn(async move { turns.turns.run(&turns).await }).detach();
        let state = entry.state.clone();
        spawn(async move { state.sync_with_log().await }).detach();
        spawn(run_jobs(entry.clone())).detach();
        spawn(release_orphans(entry.clone())).detach();
        EntryHost {
            entry,
            node,
            address,
        }
    }

    /// Lets every live entry hear every live guard, for ever.
    async fn announce(self: Rc<Self>) {
        loop {
            self.hear_all();
            self.clock.sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    fn hear_all(&self) {
        let now = self.clock.now();
        for host in self.entries.borrow().iter().filter(|h| h.node.is_up()) {
            for site in &self.sites {
                let guard = self.net.host(site.address).filter(|g| g.node.is_up());
                let guard = guard.filter(|_| !self.net.is_cut(host.address, site.address));
                if let Some(guard) = guard {
                    let announcement = guard.guard.describe(site.address);
                    host.entry.members.borrow_mut().hear(now, announcement);
                }
            }
        }
    }

    /// Puts a layout in force on every guard.
    pub fn set_layout(
        &self,
        shares: Vec<Vec<GuaranteedShare>>,
    ) {
        let number = self.layout.borrow().0 + 1;
        *self.layout.borrow_mut() = (number, shares);
        (0..WORKERS).for_each(|site| self.send_layout(site));
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
            host.node.gate().await;
            host.guard.clone().handle(call).await;
        })
        .detach();
    }

    /// Submits a job through an entry; it may not be accepted while the log is out.
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

    /// Kills an entry's process and starts it anew, without its memory.
    pub fn restart_entry(
        &self,
        number: usize,
    ) {
        self.entries.borrow()[number].node.kill();
        let host = self.new_entry(number);
        self.entries.borrow_mut()[number] = host;
    }

    /// Has an entry take a job over, whether its owner is dead or not.
    pub fn take_over(
        &self,
        heir: usize,
        job: JobId,
    ) {
        let heir = self.entries.borrow()[heir].entry.clone();
        let follows = heir.state.fold().job(job).map(|j| j.ownership);
        let Some(follows) = follows else {
            return;
        };
        let record = RecordBody::Job(JobRecord::OwnerChanged {
            job,
            owner: heir.settings.name.clone(),
            follows,
        });
        spawn(async move {
            let _ = heir.state.append(record).await;
        })
        .detach();
    }

    /// Has a live entry take over the jobs whose owner is dead, for ever.
    async fn replace_owners(self: Rc<Self>) {
        loop {
            self.clock.sleep(TAKEOVER_INTERVAL).await;
            let hosts = self.entries.borrow().clone();
            let heir = (0..ENTRIES).find(|i| hosts[*i].node.is_up());
            for job in heir
                .map(|h| orphaned_jobs(&hosts[h], &hosts))
                .iter()
                .flatten()
            {
                self.take_over(heir.unwrap_or_default(), *job);
            }
        }
    }

    /// Returns the jobs that an entry knows.
    pub fn jobs(&self) -> Vec<JobId> {
        let host = self.entries.borrow()[0].clone();
        let fold = host.entry.state.fold();
        fold.jobs().map(|j| j.spec.id).collect()
    }
}

/// Returns the open jobs that an entry knows whose owner is none of the present processes.
fn orphaned_jobs(
    heir: &EntryHost,
    hosts: &[EntryHost],
) -> Vec<JobId> {
    let epochs: Vec<u64> = hosts.iter().map(|h| h.entry.state.epoch()).collect();
    let fold = heir.entry.state.fold();
    let orphaned = fold
        .jobs()
        .filter(|j| j.end.is_none() && !epochs.contains(&j.owner_epoch));
    orphaned.map(|j| j.spec.id).collect()
}
