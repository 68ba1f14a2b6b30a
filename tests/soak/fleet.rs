//! The processes of one course, the stand-ins around them, and what is done to them.

use {
    super::{
        node::{BEAT_INTERVAL, MAX_LEASE_MS, Node, Role, address, ip},
        oracle::{ObservedEnd, Oracle},
        proxy::{Link, Proxy},
    },
    compio::runtime::{JoinHandle, spawn},
    limpetquay::{
        connection::{HttpClient, HttpServer},
        platform::stand_in::{StandInStore, StandInWorker, WorkerModel},
        prelude::*,
        process::clock::SystemClock,
        request::{Resources, RunRef, StepJobId},
    },
    std::{fs, path::PathBuf},
};

/// What each worker has.
pub const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 32_768,
    accelerators: 8,
};

/// How long a worker takes to stop a run, in milliseconds.
const STOP_MS: u64 = 100;

/// The longest course: its faults, and several times the work that callers hand in meanwhile.
const COURSE_LIMIT: Millis = Millis(180_000);

/// How often the workers are looked at by the oracle.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// One life of a worker.
struct Life {
    number: u64,
    model: Rc<StandInWorker>,
    link: Proxy,
    _server: JoinHandle<()>,
    _beats: JoinHandle<()>,
}

/// Everything of one course.
pub struct Fleet {
    pub clock: Rc<dyn Clock>,
    pub client: HttpClient,
    pub store: Rc<StandInStore>,
    pub nodes: Vec<Node>,
    pub oracle: RefCell<Oracle>,
    pub notes: RefCell<Vec<String>>,
    noted_at: std::cell::Cell<Millis>,
    lives: RefCell<Vec<Option<Life>>>,
    next_life: std::cell::Cell<u64>,
}

impl Fleet {
    /// Starts the stand-ins and all processes. `subnet` keeps courses of one machine apart.
    pub async fn start(
        dir: PathBuf,
        subnet: [u8; 2],
        entries: u8,
        guards: u8,
        config: &str,
    ) -> Rc<Self> {
        fs::create_dir_all(&dir).expect("the course's folder");
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let store = Rc::new(StandInStore::new(clock.clone()));
        store
            .put("keyed.op", "config", config.as_bytes())
            .expect("the operator writes");
        let store_address = address(ip(subnet, 250), 9000);
        let server = HttpServer::bind(store_address, store.clone()).await;
        spawn(server.expect("the store").run(std::future::pending())).detach();
        let mut nodes = Vec::new();
        for i in 0..entries + guards {
            let role = if i < entries {
                Role::Entry
            } else {
                Role::Guard
            };
            nodes.push(Node::new(&dir, subnet, i, role, store_address).await);
        }
        let fleet = Rc::new(Self {
            client: HttpClient::new(clock.clone()),
            clock,
            store,
            nodes,
            oracle: RefCell::default(),
            notes: RefCell::default(),
            noted_at: std::cell::Cell::new(Millis(0)),
            lives: RefCell::new((0..guards).map(|_| None).collect()),
            next_life: std::cell::Cell::new(1),
        });
        for node in &fleet.nodes {
            node.start(&fleet.clock);
        }
        for worker in 0..usize::from(guards) {
            fleet.start_worker(worker).await;
        }
        spawn(watch(fleet.clone())).detach();
        fleet
    }

    /// Writes a line for the report of a failed course.
    pub fn note(
        &self,
        text: String,
    ) {
        self.noted_at.set(self.clock.now());
        let line = format!("{}: {text}", self.clock.now().0);
        self.notes.borrow_mut().push(line);
    }

    /// Notes a broken promise.
    pub fn violate(
        &self,
        text: String,
    ) {
        let line = format!("{}: {text}", self.clock.now().0);
        self.oracle.borrow_mut().violations.push(line);
    }

    /// Returns the nodes of a role.
    pub fn of_role(
        &self,
        role: Role,
    ) -> Vec<usize> {
        let own = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| n.role == role);
        own.map(|(i, _)| i).collect()
    }

    /// Starts another life of a worker.
    pub async fn start_worker(
        &self,
        worker: usize,
    ) {
        let number = self.next_life.replace(self.next_life.get() + 1);
        let guard = &self.nodes[self.of_role(Role::Guard)[worker]];
        let model = WorkerModel::new(MAX_LEASE_MS, STOP_MS);
        let id = format!("w-{number}");
        let model = Rc::new(StandInWorker::new(self.clock.clone(), &id, model));
        let any = address(guard.ip, 0);
        let server = HttpServer::bind(any, model.clone())
            .await
            .expect("a worker");
        let target = server.local_addr().expect("an address");
        let link = Proxy::start(any, target).await;
        let url = format!(
            "http://{}/Instances.Heartbeat/{id}",
            address(guard.ip, 8526)
        );
        let beats = send_beats(self.client.clone(), url, link.address(), number);
        let life = Life {
            number,
            model,
            link,
            _server: spawn(server.run(std::future::pending())),
            _beats: spawn(beats),
        };
        self.lives.borrow_mut()[worker] = Some(life);
    }

    /// Ends a worker's life: its connections break and nothing of it runs on.
    pub fn crash_worker(
        &self,
        worker: usize,
    ) {
        self.look();
        if let Some(life) = self.lives.borrow_mut()[worker].take() {
            self.oracle.borrow_mut().record_crash(life.number);
        }
    }

    /// Changes the link between a guard and its worker.
    pub fn set_worker_link(
        &self,
        worker: usize,
        link: Link,
    ) {
        if let Some(life) = &self.lives.borrow()[worker] {
            life.link.set(link);
        }
    }

    /// Silences or closes the present connections between a guard and its worker.
    pub fn spoil_worker_connections(
        &self,
        worker: usize,
        silent: bool,
    ) {
        if let Some(life) = &self.lives.borrow()[worker] {
            if silent {
                life.link.silence();
            } else {
                life.link.reset();
            }
        }
    }

    /// Lets a worker carry its next starts out without an answer.
    pub fn lose_starts(
        &self,
        worker: usize,
        count: u32,
    ) {
        if let Some(life) = &self.lives.borrow()[worker] {
            life.model.drop_answers("/run-start", count);
        }
    }

    /// Returns how many runs go on.
    pub fn running(&self) -> usize {
        let lives = self.lives.borrow();
        let models = lives.iter().flatten().map(|l| l.model.model());
        models.map(|m| m.borrow().runs.len()).sum()
    }

    /// Tells whether a subtask of a job was ever started.
    pub fn has_started(
        &self,
        id: StepJobId,
    ) -> bool {
        let oracle = self.oracle.borrow();
        oracle.starts.iter().any(|(_, r)| r.subtask.job == id)
    }

    /// Tells whether no run has ended for some time, counted from the last note at the earliest, or the
    /// course takes so long that its work goes round in circles.
    pub fn is_stalled(
        &self,
        limit: Duration,
    ) -> bool {
        let oracle = self.oracle.borrow();
        let last = oracle.ends.last().map_or(0, |e| e.at);
        let since = Millis(last).max(self.noted_at.get());
        let now = self.clock.now();
        now.since(since) > limit || now > COURSE_LIMIT
    }

    /// Looks at all workers: first at what ended, then at what started.
    pub fn look(&self) {
        let now = self.clock.now().0;
        let lives = self.lives.borrow();
        let mut oracle = self.oracle.borrow_mut();
        for life in lives.iter().flatten() {
            let mut model = life.model.model().borrow_mut();
            model.advance(now);
            for end in std::mem::take(&mut model.new_ends) {
                let before = oracle
                    .ends
                    .iter()
                    .filter(|e| e.incarnation == life.number)
                    .count();
                oracle.record_end(ObservedEnd {
                    run: end.run,
                    kind: end.kind,
                    at: end.ended_at_ms,
                    incarnation: life.number,
                    number: before as u64 + 1,
                    lease_expiries: end.lease_expiries,
                    acknowledged_before_expiry: false,
                    acknowledged: false,
                });
            }
            oracle.record_acknowledged(life.number, model.acknowledged_end, model.lease_expiries);
        }
        for life in lives.iter().flatten() {
            let mut model = life.model.model().borrow_mut();
            for start in std::mem::take(&mut model.starts) {
                let others = model.runs.keys().filter(|r| **r != start.run);
                let others: Vec<RunRef> = others.copied().collect();
                if model.runs.contains_key(&start.run) {
                    oracle.record_start(now, life.number, start.run, &others, CAPACITY);
                }
            }
        }
    }

    /// Checks that no process has ended by itself or takes too much memory.
    pub fn check_processes(&self) {
        for node in &self.nodes {
            if let Some(what) = node.fault() {
                self.violate(format!("{}: {what}", node.name));
            }
        }
    }

    /// Ends all processes that the course started.
    pub fn stop(&self) {
        for node in &self.nodes {
            node.kill();
        }
    }
}

async fn watch(fleet: Rc<Fleet>) {
    loop {
        fleet.look();
        compio::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn send_beats(
    client: HttpClient,
    url: String,
    worker: SocketAddr,
    life: u64,
) {
    for sequence in 1.. {
        let beat = format!(
            r#"{{"Service":"s","Address":"{worker}","State":"in_service","Sequence":{sequence},
            "Capacity":{{"Cpu":{},"MemMb":{},"Gpu":{}}},"Labels":["a","r1"],"born":{life}}}"#,
            CAPACITY.cpu_milli, CAPACITY.memory_mb, CAPACITY.accelerators,
        );
        // A guard that is away is told by the next heartbeat.
        drop(client.post(&url, &[], beat.into(), BEAT_INTERVAL).await);
        compio::time::sleep(BEAT_INTERVAL).await;
    }
}
