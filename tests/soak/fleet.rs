//! The processes of one course, the stand-ins around them, and what is done to them.

use {
    super::{
        oracle::{Oracle, SeenEnd},
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
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        net::{IpAddr, Ipv4Addr},
        path::PathBuf,
        process::{Child, Command, Stdio},
    },
};

/// What each worker has.
pub const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 32_768,
    accelerators: 8,
};

/// The longest lease of a worker in these courses, in milliseconds.
const MAX_LEASE_MS: u64 = 3000;

/// How long a worker takes to stop a run, in milliseconds.
const STOP_MS: u64 = 100;

/// How often workers send a heartbeat.
const BEAT_INTERVAL: Duration = Duration::from_millis(300);

/// How often the workers are looked at by the oracle.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// The most memory of an entry and of a guard, in MB, as on the smallest instances of the users.
const MEMORY_MB: [u64; 2] = [160, 128];

/// What a process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    Entry,
    Guard,
}

/// One process with its link to the store.
pub struct Node {
    pub name: String,
    pub role: Role,
    pub ip: Ipv4Addr,
    pub store_link: Proxy,
    child: RefCell<Option<Child>>,
    /// Whether the process was told to stop and nothing else was done to it.
    pub stopping: std::cell::Cell<bool>,
    /// Since when the process runs without being signalled, in milliseconds.
    pub calm_since: std::cell::Cell<Millis>,
    log: PathBuf,
    /// Where the lines of the present process begin in the log, in bytes.
    log_start: std::cell::Cell<usize>,
    settings: PathBuf,
}

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
            self.oracle.borrow_mut().take_crash(life.number);
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
            life.model.lose_answers("/run-start", count);
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

    /// Tells whether no run has ended for some time, counted from the last note at the earliest.
    pub fn is_stalled(
        &self,
        limit: Duration,
    ) -> bool {
        let oracle = self.oracle.borrow();
        let last = oracle.ends.last().map_or(0, |e| e.at);
        let since = Millis(last).max(self.noted_at.get());
        self.clock.now().since(since) > limit
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
                let before = oracle.ends.iter().filter(|e| e.life == life.number).count();
                oracle.take_end(SeenEnd {
                    run: end.run,
                    kind: end.kind,
                    at: end.at_ms,
                    life: life.number,
                    number: before as u64 + 1,
                    lapses: end.lapses,
                    noted: false,
                    acknowledged: false,
                });
            }
            oracle.take_noted(life.number, model.noted_end, model.lapses);
        }
        for life in lives.iter().flatten() {
            let mut model = life.model.model().borrow_mut();
            for start in std::mem::take(&mut model.starts) {
                let others = model.runs.keys().filter(|r| **r != start.run);
                let others: Vec<RunRef> = others.copied().collect();
                if model.runs.contains_key(&start.run) {
                    oracle.take_start(now, life.number, start.run, &others, CAPACITY);
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

impl Node {
    async fn new(
        dir: &std::path::Path,
        subnet: [u8; 2],
        index: u8,
        role: Role,
        store: SocketAddr,
    ) -> Self {
        let ip = ip(subnet, index + 1);
        let name = format!("{role:?}-{index}").to_lowercase();
        let store_link = Proxy::start(address(ip, 9000), store).await;
        let settings = dir.join(format!("{name}.json"));
        let text = format!(
            r#"{{"NodeName":"{name}","Ip":"{ip}","InternalPortRange":[7000,7015],"HeartbeatMs":{},
            "ListenAddrs":{{"Frontend":"{ip}:8521","Ready":"{ip}:8523","ControlPlane":"{ip}:8526"}},
            "Bounds":{{"MaxHoldMs":{MAX_LEASE_MS},"RemoteFactor":3,"GracePeriodS":6,"status_s":120}},
            "platform":{{"Address":"{}"}}}}"#,
            BEAT_INTERVAL.as_millis(),
            store_link.address(),
        );
        fs::write(&settings, text).expect("the settings are written");
        Self {
            log: dir.join(format!("{name}.log")),
            log_start: std::cell::Cell::new(0),
            name,
            role,
            ip,
            store_link,
            child: RefCell::default(),
            stopping: std::cell::Cell::new(false),
            calm_since: std::cell::Cell::new(Millis(0)),
            settings,
        }
    }

    /// Starts the process.
    pub fn start(
        &self,
        clock: &Rc<dyn Clock>,
    ) {
        let before = fs::metadata(&self.log).map_or(0, |m| m.len());
        self.log_start
            .set(usize::try_from(before).expect("a small log"));
        let log = File::options().create(true).append(true).open(&self.log);
        let role = match self.role {
            Role::Entry => "entry",
            Role::Guard => "guard",
        };
        let child = Command::new(env!("CARGO_BIN_EXE_limpetquay"))
            .args(["platform", role])
            .env("LIMPETQUAY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::inherit())
            .spawn();
        *self.child.borrow_mut() = Some(child.expect("the process starts"));
        self.calm_since.set(clock.now());
    }

    /// Sends a signal to the process.
    pub fn signal(
        &self,
        signal: Signal,
    ) {
        if let Some(child) = &*self.child.borrow() {
            let pid = Pid::from_child(child);
            // A child that has ended by itself stays known, and is found out, until it is waited for.
            kill_process(pid, signal).expect("the process was not waited for");
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.borrow_mut().take() {
            child.wait().expect("the killed process is waited for");
        }
    }

    /// Takes a process that was told to stop once it has ended; `None` while it runs.
    pub fn take_stopped(&self) -> Option<bool> {
        let mut child = self.child.borrow_mut();
        let status = child
            .as_mut()?
            .try_wait()
            .expect("the process is a child")?;
        *child = None;
        Some(status.success())
    }

    /// Counts the calls about a job that the process has read and answered, by its log.
    pub fn answered(
        &self,
        id: &str,
    ) -> usize {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|l| l.contains("caller answered"));
        lines.filter(|l| l.contains(id)).count()
    }

    fn fault(&self) -> Option<String> {
        let mut running = self.child.borrow_mut();
        let child = running.as_mut()?;
        if let Some(status) = child.try_wait().expect("the process is a child") {
            *running = None;
            return Some(format!("ended by itself: {status}"));
        }
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let peak_kb: u64 = peak.split_whitespace().next()?.parse().ok()?;
        let limit = MEMORY_MB[self.role as usize];
        (peak_kb > limit << 10).then(|| format!("took {peak_kb} kB, above {limit} MB"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn ip(
    subnet: [u8; 2],
    host: u8,
) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet[0], subnet[1], host)
}

fn address(
    ip: Ipv4Addr,
    port: u16,
) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), port)
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
