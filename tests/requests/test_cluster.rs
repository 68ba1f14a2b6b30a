//! A cluster of entries, guards and upstreams in one process under virtual time.

use {
    super::{
        fakes::{FakeLog, FakeWorker, Runs},
        network::{FakeDialer, TestUpstream},
    },
    compio::runtime::{JoinHandle, spawn},
    limpetquay::{
        prelude::*,
        process::{
            admission::run_dispatch,
            clock::VirtualClock,
            entry::{Entry, EntryBuilder, write_claim_ends},
            metrics::Metrics,
            settings::EntrySettings,
            state::{DocumentRecord, RecordBody, State},
        },
        request::{CallerRequest, IdGenerator, LeastWaitRouting, Outcome, run_request},
    },
    std::cell::{Cell, RefCell},
};

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// The document of most tests.
pub const DOCUMENT: &str = include_str!("service.ini");

/// One entry with its tasks; dropping it kills the entry.
pub struct RunningEntry {
    pub entry: Rc<Entry>,
    _tasks: Vec<JoinHandle<()>>,
}

/// Two entries and the upstreams that they share.
pub struct TestCluster {
    pub clock: Rc<VirtualClock>,
    pub log: Rc<FakeLog>,
    pub upstreams: Vec<Rc<TestUpstream>>,
    pub runs: Runs,
    pub entries: RefCell<Vec<RunningEntry>>,
    document: Document,
    dialer: Rc<FakeDialer>,
    epochs: Cell<u64>,
}

impl TestCluster {
    /// Starts upstreams with `slots` slots each and two entries that have applied the document.
    pub async fn start(
        clock: Rc<VirtualClock>,
        upstream_count: u16,
        slots: u32,
        document: &str,
    ) -> Rc<Self> {
        let log = FakeLog::new(clock.clone());
        let runs = Runs::default();
        let upstreams: Vec<Rc<TestUpstream>> = (0..upstream_count)
            .map(|i| {
                let name = format!("w{i}").as_str().into();
                let worker = FakeWorker::new(clock.clone(), name, runs.clone());
                let address = SocketAddr::new(ADDRESS.ip(), 100 + i);
                TestUpstream::start(clock.clone(), address, worker, slots)
            })
            .collect();
        let by_address = upstreams.iter().map(|u| (u.address, u.clone()));
        let dialer = FakeDialer {
            upstreams: by_address.collect(),
        };
        let cluster = Rc::new(Self {
            clock,
            log,
            upstreams,
            runs,
            entries: RefCell::default(),
            document: Document::parse("service.ini", document).expect("a valid document"),
            dialer: Rc::new(dialer),
            epochs: Cell::new(0),
        });
        for _ in 0..2 {
            let entry = cluster.new_entry();
            cluster.entries.borrow_mut().push(entry);
        }
        spawn(announce(cluster.clone())).detach();
        let record = RecordBody::Document(DocumentRecord {
            follows: VersionNumber::default(),
            text: Arc::from(document),
            operator: "tester".into(),
            submitted_ms: 0,
        });
        let first = cluster.entry(0);
        first.state.append(record).await.expect("the log is up");
        cluster.sleep(1000).await;
        cluster
    }

    pub fn entry(
        &self,
        index: usize,
    ) -> Rc<Entry> {
        self.entries.borrow()[index].entry.clone()
    }

    /// Kills an entry and starts another one in its place.
    pub fn replace_entry(
        &self,
        index: usize,
    ) {
        let new = self.new_entry();
        let old = std::mem::replace(&mut self.entries.borrow_mut()[index], new);
        drop(old);
    }

    pub async fn sleep(
        &self,
        ms: u64,
    ) {
        self.clock.sleep(Duration::from_millis(ms)).await;
    }

    /// Builds a request of an account for an entry.
    pub fn request(
        &self,
        entry: &Entry,
        account: &str,
        kind: &str,
        key: Option<&str>,
        body: &str,
    ) -> CallerRequest {
        CallerRequest {
            id: entry.ids.request_id(),
            account: account.into(),
            kind: self.document.request_kinds[&kind.into()].clone(),
            body: Bytes::copy_from_slice(body.as_bytes()),
            deadline: Duration::from_secs(8),
            idempotency_key: key.map(Arc::from),
        }
    }

    /// Sends a request through an entry and waits for its outcome.
    pub async fn send(
        &self,
        entry: usize,
        account: &str,
        kind: &str,
        key: Option<&str>,
        body: &str,
    ) -> Outcome {
        let entry = self.entry(entry);
        let req = self.request(&entry, account, kind, key, body);
        run_request(&entry, &req).await
    }

    fn new_entry(&self) -> RunningEntry {
        let epoch = self.epochs.get() + 1;
        self.epochs.set(epoch);
        let clock: Rc<dyn Clock> = self.clock.clone();
        let name: EntryName = format!("entry-{epoch}").as_str().into();
        let state = State::new(self.log.clone(), clock.clone(), name.clone(), epoch);
        let metrics = Rc::new(Metrics::default());
        let settings = EntrySettings {
            name,
            region: "jozi".into(),
            data_centre: "jozi-1".into(),
            http: ADDRESS,
            announcements: ADDRESS,
            seeds: Vec::new(),
            log: ADDRESS,
            drain_timeout: Duration::from_secs(1),
            bootstrap: None,
            peers: None,
            log_retention: Duration::from_secs(86_400),
            limits: limpetquay::process::limits::ProcessLimits::default(),
        };
        let builder = EntryBuilder {
            settings,
            announcement_address: ADDRESS,
            dialer: self.dialer.clone(),
            clock,
            metrics,
            state,
            routing: Rc::new(LeastWaitRouting::new(epoch)),
            ids: IdGenerator::with_epoch(epoch),
            jitter_seed: epoch,
        };
        let entry = Rc::new(builder.build());
        let state = entry.state.clone();
        let tasks = vec![
            spawn(async move { state.sync_with_log().await }),
            spawn(run_dispatch(entry.clone())),
            spawn(write_claim_ends(entry.clone())),
        ];
        RunningEntry {
            entry,
            _tasks: tasks,
        }
    }
}

/// Announces every running guard to every entry; never returns.
async fn announce(cluster: Rc<TestCluster>) {
    loop {
        for upstream in &cluster.upstreams {
            let guard = upstream.guard.borrow().clone();
            let Some(guard) = guard else { continue };
            for running in cluster.entries.borrow().iter() {
                let announcement = guard.next_announcement(upstream.address);
                let mut members = running.entry.members.borrow_mut();
                members.apply_announcement(cluster.clock.now(), announcement);
            }
        }
        cluster.clock.sleep(ANNOUNCE_INTERVAL).await;
    }
}
