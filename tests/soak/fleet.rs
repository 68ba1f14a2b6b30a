//! The processes of one scenario, the stand-ins that they use and the operations on both.

use {
    super::{
        callers::parse_id,
        node::{Node, Role, address, ip},
        oracle::{ObservedEnd, Oracle},
        proxy::LinkState,
        scenario::Scenario,
        worker_incarnation::WorkerIncarnation,
    },
    compio::runtime::spawn,
    limpetquay::{
        connection::{HttpClient, HttpServer},
        platform::stand_in::{ReceivedStart, StandInStore, StoreLimits},
        prelude::*,
        process::clock::SystemClock,
        request::{Resources, RunRef, StepJob, StepJobId},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fs,
        path::PathBuf,
    },
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

/// The processes and stand-ins of one scenario, with the oracle that checks them.
pub struct Fleet {
    pub clock: Rc<dyn Clock>,
    pub client: HttpClient,
    pub store: Rc<StandInStore>,
    pub nodes: Vec<Node>,
    pub scenario: Scenario,
    pub oracle: RefCell<Oracle>,
    /// The logged events, which are the injected faults and their end, for the report of a failed
    /// scenario.
    pub events: RefCell<Vec<String>>,
    /// The payload of each job by its ID, both as they were sent.
    sent_payloads: RefCell<BTreeMap<Arc<str>, Arc<str>>>,
    /// The jobs of which a worker has started a subtask, even if the run has ended since.
    started_jobs: RefCell<BTreeSet<StepJobId>>,
    /// How often the number of pending jobs was compared while jobs were waiting.
    pub pending_comparisons: std::cell::Cell<u64>,
    /// How many stalled connections to the store each entry has used after each such fault.
    pub stalled_uses: RefCell<Vec<usize>>,
    last_event_at: std::cell::Cell<Millis>,
    /// The running incarnation of each worker.
    workers: RefCell<Vec<Option<WorkerIncarnation>>>,
    /// The incarnations that run on beside their successor.
    replaced: RefCell<Vec<WorkerIncarnation>>,
    next_incarnation: std::cell::Cell<u64>,
    config_version: std::cell::Cell<u64>,
}

impl Fleet {
    /// Starts the stand-ins and all processes. Scenarios on the same machine need different
    /// `subnet`s, the second and third byte of their loopback addresses.
    pub async fn start(
        dir: PathBuf,
        subnet: [u8; 2],
        config: &str,
        scenario: Scenario,
    ) -> Rc<Self> {
        fs::create_dir_all(&dir).expect("the folder of the scenario can be created");
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let store = Rc::new(StandInStore::new(clock.clone()));
        store
            .put("keyed.op", "config", config.as_bytes())
            .expect("the configuration is stored");
        store.model().borrow_mut().limits = StoreLimits {
            record_bytes: scenario.terms.record_bytes,
            request_bytes: scenario.terms.request_bytes,
            ..StoreLimits::default()
        };
        let store_address = address(ip(subnet, 250), 9000);
        let server = HttpServer::bind(store_address, store.clone()).await;
        spawn(server.expect("the store").run(std::future::pending())).detach();
        let Scenario {
            entries,
            guards,
            terms,
            ..
        } = scenario;
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
            scenario,
            oracle: RefCell::default(),
            events: RefCell::default(),
            sent_payloads: RefCell::default(),
            started_jobs: RefCell::default(),
            pending_comparisons: std::cell::Cell::new(0),
            stalled_uses: RefCell::default(),
            last_event_at: std::cell::Cell::new(Millis(0)),
            workers: RefCell::new((0..guards).map(|_| None).collect()),
            replaced: RefCell::default(),
            next_incarnation: std::cell::Cell::new(1),
            config_version: std::cell::Cell::new(1),
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

    /// Records a job that is about to be sent under an ID.
    pub fn record_sent_job(
        &self,
        id: &str,
        job: StepJob,
    ) {
        let payload = job.payload.clone();
        self.sent_payloads.borrow_mut().insert(id.into(), payload);
        self.oracle.borrow_mut().jobs.insert(job.id, job);
    }

    /// Returns the next version of the configuration.
    pub fn next_config_version(&self) -> u64 {
        self.config_version.set(self.config_version.get() + 1);
        self.config_version.get()
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
        let guard = self.nodes[self.nodes_of_role(Role::Guard)[worker]].ip;
        let (client, clock) = (&self.client, &self.clock);
        let incarnation =
            WorkerIncarnation::start(client, clock, &self.scenario, guard, number).await;
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
            incarnation.announcements.is_sending.set(!is_cut);
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
            w.announcements.is_sending.set(false);
            w.number
        }) else {
            return;
        };
        let guard = &self.nodes[self.nodes_of_role(Role::Guard)[worker]];
        let guard = address(guard.ip, 8526);
        let url = format!("http://{guard}/Instances.Deregister/w-{number}");
        let confirmed = self.client.post(
            &url,
            &[],
            "{}".into(),
            self.scenario.terms.heartbeat_interval,
        );
        if confirmed.await.is_err() {
            self.log_event(format!("the deregistration of w-{number} is not confirmed"));
        }
    }

    /// Lets a worker announce in its heartbeats that it leaves after a time, in milliseconds.
    pub fn drain_worker(
        &self,
        worker: usize,
        remaining_ms: u64,
    ) {
        if let Some(incarnation) = &self.workers.borrow()[worker] {
            incarnation
                .announcements
                .remaining_ms
                .set(Some(remaining_ms));
        }
    }

    /// Starts the successor of a worker beside the same guard while the worker runs on, and returns
    /// the number of the replaced incarnation.
    pub async fn replace_worker(
        &self,
        worker: usize,
    ) -> Option<u64> {
        let before = self.workers.borrow_mut()[worker].take();
        let number = before.as_ref().map(|w| w.number);
        self.replaced.borrow_mut().extend(before);
        self.start_worker(worker).await;
        number
    }

    /// Ends a replaced incarnation with its runs.
    pub fn end_replaced_worker(
        &self,
        number: u64,
    ) {
        self.observe_workers();
        self.replaced.borrow_mut().retain(|w| w.number != number);
        self.oracle.borrow_mut().record_crash(number);
    }

    /// Returns the entry that began to schedule last, according to the logs.
    pub fn leader(&self) -> Option<usize> {
        let began = |n: &usize| self.nodes[*n].last_time_of("scheduling begins");
        let entries = self.nodes_of_role(Role::Entry).into_iter();
        entries.filter(|n| began(n).is_some()).max_by_key(began)
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
        let replaced = self.replaced.borrow();
        let models = workers
            .iter()
            .flatten()
            .chain(&*replaced)
            .map(|w| w.model.model());
        models.map(|m| m.borrow().runs.len()).sum()
    }

    /// Returns the worker with the most runs.
    pub fn busiest_worker(&self) -> usize {
        let workers = self.workers.borrow();
        let runs = |i: &usize| {
            let incarnation = workers[*i].as_ref();
            incarnation.map_or(0, |w| w.model.model().borrow().runs.len())
        };
        (0..workers.len()).max_by_key(runs).unwrap_or_default()
    }

    /// Returns whether a subtask of a job was ever started.
    pub fn has_started(
        &self,
        id: &str,
    ) -> bool {
        self.started_jobs.borrow().contains(&parse_id(id))
    }

    /// Checks an order to a worker against the jobs as they were sent, byte for byte.
    fn check_received_start(
        &self,
        worker: u64,
        order: &ReceivedStart,
    ) {
        let id = order.task.split('.').next().unwrap_or_default();
        let sent = self.sent_payloads.borrow().get(id).cloned();
        if sent.as_ref() != Some(&order.payload) {
            let ReceivedStart { task, payload } = order;
            self.record_violation(format!(
                "w-{worker} was told to start {task} with payload {payload:?}, but {sent:?} was sent under its ID"
            ));
        }
    }

    /// Returns whether no run has ended and no event was logged for longer than the limit of the scenario, or it
    /// has exceeded its longest time, as happens when its work is repeated without end.
    pub fn is_stalled(&self) -> bool {
        let oracle = self.oracle.borrow();
        let last_end_ms = oracle.ends.last().map_or(0, |e| e.at);
        let since = Millis(last_end_ms).max(self.last_event_at.get());
        let now = self.clock.now();
        now.since(since) > self.scenario.stall_limit || now > MAX_SCENARIO_TIME
    }

    /// Passes the new ends and then the new starts of all workers to the oracle. Ends come first,
    /// because a started run may use the capacity of one that has ended.
    pub fn observe_workers(&self) {
        let now = self.clock.now().0;
        let workers = self.workers.borrow();
        let replaced = self.replaced.borrow();
        for incarnation in workers.iter().flatten().chain(&*replaced) {
            for order in incarnation.model.take_received_starts() {
                self.check_received_start(incarnation.number, &order);
            }
        }
        let mut oracle = self.oracle.borrow_mut();
        for incarnation in workers.iter().flatten().chain(&*replaced) {
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
        for incarnation in workers.iter().flatten().chain(&*replaced) {
            let mut model = incarnation.model.model().borrow_mut();
            for start in std::mem::take(&mut model.starts) {
                self.started_jobs.borrow_mut().insert(start.run.subtask.job);
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
