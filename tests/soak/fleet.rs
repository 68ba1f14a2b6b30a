//! The processes of one scenario, the stand-ins that they use and the operations on both.

use {
    super::{
        node::{Node, Role, Terms, address, ip},
        oracle::{ObservedEnd, Oracle},
        proxy::{LinkState, Proxy},
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

/// The capacity of each worker.
pub const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 32_768,
    accelerators: 8,
};

/// The longest time of a scenario: that of its faults and several times that of the work submitted
/// meanwhile.
const MAX_SCENARIO_TIME: Millis = Millis(180_000);

/// How often the events at the workers are passed to the oracle.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);

/// One incarnation of a stand-in worker. Dropping it ends its server and its heartbeats.
struct WorkerIncarnation {
    number: u64,
    model: Rc<StandInWorker>,
    link: Proxy,
    sends_heartbeats: Rc<std::cell::Cell<bool>>,
    _server: JoinHandle<()>,
    _heartbeats: JoinHandle<()>,
}

/// The processes and stand-ins of one scenario, with the oracle that checks them.
pub struct Fleet {
    pub clock: Rc<dyn Clock>,
    pub client: HttpClient,
    pub store: Rc<StandInStore>,
    pub nodes: Vec<Node>,
    pub terms: Terms,
    pub oracle: RefCell<Oracle>,
    /// The logged events, which are the injected faults and their end, for the report of a failed
    /// scenario.
    pub events: RefCell<Vec<String>>,
    last_event_at: std::cell::Cell<Millis>,
    /// The running incarnation of each worker.
    workers: RefCell<Vec<Option<WorkerIncarnation>>>,
    next_incarnation: std::cell::Cell<u64>,
}

impl Fleet {
    /// Starts the stand-ins and all processes. Scenarios on the same machine need different
    /// `subnet`s, the second and third byte of their loopback addresses.
    pub async fn start(
        dir: PathBuf,
        subnet: [u8; 2],
        entries: u8,
        guards: u8,
        config: &str,
        terms: Terms,
    ) -> Rc<Self> {
        fs::create_dir_all(&dir).expect("the folder of the scenario can be created");
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let store = Rc::new(StandInStore::new(clock.clone()));
        store
            .put("keyed.op", "config", config.as_bytes())
            .expect("the configuration is stored");
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
            nodes.push(Node::new(&dir, subnet, i, role, store_address, terms).await);
        }
        let fleet = Rc::new(Self {
            client: HttpClient::new(clock.clone()),
            clock,
            store,
            nodes,
            terms,
            oracle: RefCell::default(),
            events: RefCell::default(),
            last_event_at: std::cell::Cell::new(Millis(0)),
            workers: RefCell::new((0..guards).map(|_| None).collect()),
            next_incarnation: std::cell::Cell::new(1),
        });
        for node in &fleet.nodes {
            node.start(&fleet.clock);
        }
        for worker in 0..usize::from(guards) {
            fleet.start_worker(worker).await;
        }
        spawn(run_observer(fleet.clone())).detach();
        fleet
    }

    /// Records an event for the report of a failed scenario.
    pub fn log_event(
        &self,
        text: String,
    ) {
        self.last_event_at.set(self.clock.now());
        let line = format!("{}: {text}", self.clock.now().0);
        self.events.borrow_mut().push(line);
    }

    /// Records the violation of an invariant.
    pub fn record_violation(
        &self,
        text: String,
    ) {
        let line = format!("{}: {text}", self.clock.now().0);
        self.oracle.borrow_mut().violations.push(line);
    }

    /// Returns the indexes of the nodes of a role.
    pub fn nodes_of_role(
        &self,
        role: Role,
    ) -> Vec<usize> {
        let with_role = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| n.role == role);
        with_role.map(|(i, _)| i).collect()
    }

    /// Starts a new incarnation of a worker.
    pub async fn start_worker(
        &self,
        worker: usize,
    ) {
        let number = self
            .next_incarnation
            .replace(self.next_incarnation.get() + 1);
        let guard = &self.nodes[self.nodes_of_role(Role::Guard)[worker]];
        let model = WorkerModel::new(self.terms.max_lease_ms, self.terms.stop_ms);
        let id = format!("w-{number}");
        let model = Rc::new(StandInWorker::new(self.clock.clone(), &id, model));
        let any_port = address(guard.ip, 0);
        let server = HttpServer::bind(any_port, model.clone())
            .await
            .expect("the worker's port can be bound");
        let target = server.local_addr().expect("a bound socket has an address");
        let link = Proxy::start(any_port, target).await;
        let url = format!(
            "http://{}/Instances.Heartbeat/{id}",
            address(guard.ip, 8526)
        );
        let sends_heartbeats = Rc::new(std::cell::Cell::new(true));
        let heartbeats = send_heartbeats(
            self.client.clone(),
            url,
            link.address(),
            number,
            sends_heartbeats.clone(),
            self.terms.heartbeat_interval,
        );
        let incarnation = WorkerIncarnation {
            number,
            model,
            link,
            sends_heartbeats,
            _server: spawn(server.run(std::future::pending())),
            _heartbeats: spawn(heartbeats),
        };
        self.workers.borrow_mut()[worker] = Some(incarnation);
    }

    /// Crashes a worker: its connections break and its runs are lost.
    pub fn crash_worker(
        &self,
        worker: usize,
    ) {
        self.observe_workers();
        if let Some(incarnation) = self.workers.borrow_mut()[worker].take() {
            self.oracle.borrow_mut().record_crash(incarnation.number);
        }
    }

    /// Cuts a worker off from its guard, or ends the cut: connections are refused, and no heartbeats
    /// arrive, while its runs go on.
    pub fn cut_worker(
        &self,
        worker: usize,
        is_cut: bool,
    ) {
        if let Some(incarnation) = &self.workers.borrow()[worker] {
            incarnation.sends_heartbeats.set(!is_cut);
            incarnation.link.set_state(if is_cut {
                LinkState::Refused
            } else {
                LinkState::Open
            });
        }
    }

    /// Lets a worker deregister at its guard. Its runs go on until it ends.
    pub async fn deregister_worker(
        &self,
        worker: usize,
    ) {
        let Some(number) = self.workers.borrow()[worker].as_ref().map(|w| {
            w.sends_heartbeats.set(false);
            w.number
        }) else {
            return;
        };
        let guard = &self.nodes[self.nodes_of_role(Role::Guard)[worker]];
        let guard = address(guard.ip, 8526);
        let url = format!("http://{guard}/Instances.Deregister/w-{number}");
        let confirmed = self
            .client
            .post(&url, &[], "{}".into(), self.terms.heartbeat_interval);
        if confirmed.await.is_err() {
            self.log_event(format!("the deregistration of w-{number} is not confirmed"));
        }
    }

    /// Sets the state of the link between a guard and its worker.
    pub fn set_worker_link_state(
        &self,
        worker: usize,
        state: LinkState,
    ) {
        if let Some(incarnation) = &self.workers.borrow()[worker] {
            incarnation.link.set_state(state);
        }
    }

    /// Stalls or closes the existing connections between a guard and its worker.
    pub fn disrupt_worker_connections(
        &self,
        worker: usize,
        is_stall: bool,
    ) {
        if let Some(incarnation) = &self.workers.borrow()[worker] {
            if is_stall {
                incarnation.link.stall_connections();
            } else {
                incarnation.link.close_connections();
            }
        }
    }

    /// Makes a worker execute its next `count` starts without answering them.
    pub fn drop_start_answers(
        &self,
        worker: usize,
        count: u32,
    ) {
        if let Some(incarnation) = &self.workers.borrow()[worker] {
            incarnation.model.drop_answers("/run-start", count);
        }
    }

    /// Returns the number of runs on all workers.
    pub fn running_count(&self) -> usize {
        let workers = self.workers.borrow();
        let models = workers.iter().flatten().map(|w| w.model.model());
        models.map(|m| m.borrow().runs.len()).sum()
    }

    /// Returns whether a subtask of a job was ever started.
    pub fn has_started(
        &self,
        id: StepJobId,
    ) -> bool {
        let oracle = self.oracle.borrow();
        oracle.starts.iter().any(|(_, r)| r.subtask.job == id)
    }

    /// Returns whether no run has ended and no event was logged for longer than `limit`, or the
    /// scenario has exceeded its longest time, as happens when its work is repeated without end.
    pub fn is_stalled(
        &self,
        limit: Duration,
    ) -> bool {
        let oracle = self.oracle.borrow();
        let last_end_ms = oracle.ends.last().map_or(0, |e| e.at);
        let since = Millis(last_end_ms).max(self.last_event_at.get());
        let now = self.clock.now();
        now.since(since) > limit || now > MAX_SCENARIO_TIME
    }

    /// Passes the new ends and then the new starts of all workers to the oracle. Ends come first,
    /// because a started run may use the capacity of one that has ended.
    pub fn observe_workers(&self) {
        let now = self.clock.now().0;
        let workers = self.workers.borrow();
        let mut oracle = self.oracle.borrow_mut();
        for incarnation in workers.iter().flatten() {
            let mut model = incarnation.model.model().borrow_mut();
            model.advance(now);
            for end in std::mem::take(&mut model.new_ends) {
                let previous_ends = oracle
                    .ends
                    .iter()
                    .filter(|e| e.incarnation == incarnation.number)
                    .count();
                oracle.record_end(ObservedEnd {
                    run: end.run,
                    kind: end.kind,
                    at: end.ended_at_ms,
                    incarnation: incarnation.number,
                    number: previous_ends as u64 + 1,
                    lease_expiries: end.lease_expiries,
                    acknowledged_before_expiry: false,
                    acknowledged: false,
                });
            }
            oracle.record_acknowledged(
                incarnation.number,
                model.acknowledged_end,
                model.lease_expiries,
            );
        }
        for incarnation in workers.iter().flatten() {
            let mut model = incarnation.model.model().borrow_mut();
            for start in std::mem::take(&mut model.starts) {
                let others = model.runs.keys().filter(|r| **r != start.run);
                let others: Vec<RunRef> = others.copied().collect();
                if model.runs.contains_key(&start.run) {
                    oracle.record_start(now, incarnation.number, start.run, &others, CAPACITY);
                }
            }
        }
    }

    /// Checks that no process has ended unexpectedly or exceeded its memory limit.
    pub fn check_processes(&self) {
        for node in &self.nodes {
            if let Some(fault) = node.find_fault() {
                self.record_violation(format!("{}: {fault}", node.name));
            }
        }
    }

    /// Kills all processes of the scenario.
    pub fn stop(&self) {
        for node in &self.nodes {
            node.kill();
        }
    }
}

async fn run_observer(fleet: Rc<Fleet>) {
    loop {
        fleet.observe_workers();
        compio::time::sleep(OBSERVATION_INTERVAL).await;
    }
}

async fn send_heartbeats(
    client: HttpClient,
    url: String,
    worker: SocketAddr,
    incarnation: u64,
    sends: Rc<std::cell::Cell<bool>>,
    interval: Duration,
) {
    for sequence in 1.. {
        while !sends.get() {
            compio::time::sleep(interval).await;
        }
        let heartbeat = format!(
            r#"{{"Service":"s","Address":"{worker}","State":"in_service","Sequence":{sequence},
            "Capacity":{{"Cpu":{},"MemMb":{},"Gpu":{}}},"Labels":["a","r1"],"born":{incarnation}}}"#,
            CAPACITY.cpu_milli, CAPACITY.memory_mb, CAPACITY.accelerators,
        );
        // A guard that cannot be reached receives a later heartbeat.
        drop(client.post(&url, &[], heartbeat.into(), interval).await);
        compio::time::sleep(interval).await;
    }
}
