//! Injection of random faults from outside the processes, some of which overlap.

use {
    super::{callers::Callers, fleet::Fleet, node::Role, proxy::LinkState},
    compio::runtime::{JoinHandle, spawn},
    limpetquay::{platform::stand_in::StoreFaults, prelude::*},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rustix::process::Signal,
    std::{cell::RefCell, collections::BTreeSet},
};

/// The longest time to stop a process: its grace period of 6 s and a margin to observe its end.
const STOP_TIMEOUT: Duration = Duration::from_millis(6500);

/// How often the end of a stopping process is checked.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of stalled connections to the store that a process uses. It keeps up to 8 idle
/// connections, and a few calls may be about to be sent when the connections stall.
const MAX_STALLED_USES: usize = 12;

/// How long the use of stalled connections is counted, which a second burst at once causes.
const STALLED_USE_DURATION: Duration = Duration::from_millis(2500);

/// Separates the faults after bursts from the others, which use the same seed.
const BURST_STREAM: u64 = 0xb057;

/// Injects faults into a fleet, with at most one signal or restart of the same process at a time.
pub struct FaultInjector {
    pub(super) fleet: Rc<Fleet>,
    callers: Rc<Callers>,
    /// The indexes of the nodes whose process is being signalled or restarted.
    pub(super) busy_nodes: RefCell<BTreeSet<usize>>,
}

impl FaultInjector {
    pub fn new(
        fleet: Rc<Fleet>,
        callers: Rc<Callers>,
    ) -> Rc<Self> {
        Rc::new(Self {
            fleet,
            callers,
            busy_nodes: RefCell::default(),
        })
    }

    /// Injects faults for some time, waits until the last one is over and removes those that are
    /// left.
    pub async fn run(
        self: Rc<Self>,
        seed: u64,
        duration: Duration,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let end = self.fleet.clock.now() + duration.into();
        let mut active_faults: Vec<JoinHandle<()>> = Vec::new();
        active_faults.push(spawn(self.clone().inject_after_bursts(seed, end)));
        while self.fleet.clock.now() < end {
            sleep_between(&mut rng, 100, 900).await;
            let fault_seed = rng.random_range(0..u64::MAX);
            active_faults.push(spawn(self.clone().inject(fault_seed)));
        }
        for fault in active_faults {
            drop(fault.await);
        }
        self.fleet.store.set_faults(StoreFaults::default());
        for node in &self.fleet.nodes {
            node.store_link.set_state(LinkState::Open);
        }
    }

    /// Submits bursts of jobs until `end`, each shortly before a fault.
    async fn inject_after_bursts(
        self: Rc<Self>,
        seed: u64,
        end: Millis,
    ) {
        let mut rng = StdRng::seed_from_u64(seed ^ BURST_STREAM);
        loop {
            sleep_between(&mut rng, 2000, 6000).await;
            if self.fleet.clock.now() >= end {
                return;
            }
            let entries = self.fleet.nodes_of_role(Role::Entry);
            let entry = entries[rng.random_range(0..entries.len())];
            self.fleet
                .log_event(format!("a burst at {}", self.fleet.nodes[entry].name));
            match rng.random_range(0..3) {
                0 => self.burst_with_lost_orders(&mut rng, entry).await,
                1 => self.burst_before_silence(&mut rng, entry).await,
                _ => {
                    self.callers.submit_burst(&mut rng, entry).await;
                    self.clone().inject(rng.random_range(0..u64::MAX)).await;
                }
            }
        }
    }

    /// Makes the open connections between all entries and the store silent after a burst, while new
    /// ones work, and checks that the entry of a burst gives the others up after a bounded number of
    /// calls. A count of calls does not depend on the speed of the machine.
    pub async fn burst_before_silence(
        &self,
        rng: &mut StdRng,
        entry: usize,
    ) {
        self.callers.submit_burst(rng, entry).await;
        self.fleet
            .log_event("the open connections between entries and the store stall".to_owned());
        for entry in self.fleet.nodes_of_role(Role::Entry) {
            self.fleet.nodes[entry].store_link.stall_connections();
        }
        let second_burst = self.callers.submit_burst(rng, entry);
        futures_util::join!(second_burst, compio::time::sleep(STALLED_USE_DURATION));
        for entry in self.fleet.nodes_of_role(Role::Entry) {
            let node = &self.fleet.nodes[entry];
            let uses = node.store_link.stalled_uses();
            self.fleet.stalled_uses.borrow_mut().push(uses);
            if uses > MAX_STALLED_USES {
                self.fleet.record_violation(format!(
                    "{} has used {uses} connections to the store that were stalled before",
                    node.name
                ));
            }
        }
    }

    /// Blocks what the guards send to their workers from just before a burst, for longer than a job
    /// may go uncounted. The starts that are ordered meanwhile are lost or come late.
    pub async fn burst_with_lost_orders(
        &self,
        rng: &mut StdRng,
        entry: usize,
    ) {
        self.fleet
            .log_event("nothing that guards send reaches their workers".to_owned());
        let workers = 0..self.fleet.nodes_of_role(Role::Guard).len();
        for worker in workers.clone() {
            self.fleet
                .set_worker_link_state(worker, LinkState::BlockedToServer);
        }
        self.callers.submit_burst(rng, entry).await;
        sleep_between(rng, 6000, 9000).await;
        for worker in workers {
            self.fleet.set_worker_link_state(worker, LinkState::Open);
        }
    }

    async fn inject(
        self: Rc<Self>,
        seed: u64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let rng = &mut rng;
        if self.fleet.scenario.workload.is_site && rng.random_range(0..2) > 0 {
            return self.inject_site_fault(rng).await;
        }
        match rng.random_range(0..20) {
            0..=5 => self.inject_process_fault(rng).await,
            6 => self.kill_all_processes(rng).await,
            7..=9 => self.inject_store_fault(rng).await,
            10..=13 => self.inject_store_link_fault(rng).await,
            14..=15 => self.crash_random_worker(rng).await,
            _ => self.inject_worker_link_fault(rng).await,
        }
    }

    async fn inject_process_fault(
        &self,
        rng: &mut StdRng,
    ) {
        let node = rng.random_range(0..self.fleet.nodes.len());
        if !self.busy_nodes.borrow_mut().insert(node) {
            return;
        }
        let process = &self.fleet.nodes[node];
        let fault = rng.random_range(0..4);
        let fault_name = ["killed", "stopped", "paused", "signalled to reload"][fault];
        self.fleet
            .log_event(format!("{} is {fault_name}", process.name));
        process.undisturbed_since.set(Millis(u64::MAX));
        match fault {
            0 => {
                process.kill();
                sleep_between(rng, 50, 2500).await;
                process.start(&self.fleet.clock);
            }
            1 => {
                let pause = Duration::from_millis(rng.random_range(50..1000));
                self.stop_and_start(node, pause).await;
            }
            2 => {
                process.signal(Signal::STOP);
                sleep_between(rng, 300, 5000).await;
                process.signal(Signal::CONT);
                process.undisturbed_since.set(self.fleet.clock.now());
            }
            _ => {
                process.signal(Signal::HUP);
                process.undisturbed_since.set(self.fleet.clock.now());
            }
        }
        self.busy_nodes.borrow_mut().remove(&node);
    }

    /// Stops a process with SIGTERM and starts it again after a pause.
    pub(super) async fn stop_and_start(
        &self,
        node: usize,
        pause: Duration,
    ) {
        let process = &self.fleet.nodes[node];
        process.undisturbed_since.set(Millis(u64::MAX));
        process.is_stopping.set(true);
        process.signal(Signal::TERM);
        self.wait_for_end(node).await;
        process.is_stopping.set(false);
        compio::time::sleep(pause).await;
        process.start(&self.fleet.clock);
    }

    async fn wait_for_end(
        &self,
        node: usize,
    ) {
        let process = &self.fleet.nodes[node];
        let start = self.fleet.clock.now();
        loop {
            compio::time::sleep(STOP_CHECK_INTERVAL).await;
            if let Some(is_success) = process.take_stop_result() {
                if !is_success {
                    let text = format!("{} did not shut down cleanly after SIGTERM", process.name);
                    self.fleet.record_violation(text);
                }
                return;
            }
            if self.fleet.clock.now().since(start) > STOP_TIMEOUT {
                let text = format!("{} was still running after its grace period", process.name);
                self.fleet.record_violation(text);
                process.kill();
                return;
            }
        }
    }

    async fn kill_all_processes(
        &self,
        rng: &mut StdRng,
    ) {
        let nodes: Vec<usize> = (0..self.fleet.nodes.len())
            .filter(|n| self.busy_nodes.borrow_mut().insert(*n))
            .collect();
        self.fleet.log_event("all processes are killed".to_owned());
        for node in &nodes {
            self.fleet.nodes[*node]
                .undisturbed_since
                .set(Millis(u64::MAX));
            self.fleet.nodes[*node].kill();
        }
        sleep_between(rng, 100, 1500).await;
        for node in nodes {
            self.fleet.nodes[node].start(&self.fleet.clock);
            self.busy_nodes.borrow_mut().remove(&node);
        }
    }

    async fn inject_store_fault(
        &self,
        rng: &mut StdRng,
    ) {
        let mut faults = StoreFaults::default();
        match rng.random_range(0..5) {
            0 => faults.refuses_calls = true,
            1 => faults.drops_answers = true,
            2 => faults.delay_ms = 300,
            3 => faults.delay_ms = 60_000,
            _ => self.fleet.store.model().borrow_mut().trim_history(),
        }
        self.fleet
            .log_event(format!("faults of the store: {faults:?}"));
        self.fleet.store.set_faults(faults);
        sleep_between(rng, 300, 4000).await;
        self.fleet.store.set_faults(StoreFaults::default());
    }

    async fn inject_store_link_fault(
        &self,
        rng: &mut StdRng,
    ) {
        let node = &self.fleet.nodes[rng.random_range(0..self.fleet.nodes.len())];
        match rng.random_range(0..6) {
            0 => node.store_link.stall_connections(),
            1 => node.store_link.close_connections(),
            _ => {
                let link = random_link_state(rng);
                self.fleet.log_event(format!(
                    "link between {} and the store: {link:?}",
                    node.name
                ));
                node.store_link.set_state(link);
                sleep_between(rng, 300, 6000).await;
                node.store_link.set_state(LinkState::Open);
            }
        }
    }

    async fn crash_random_worker(
        &self,
        rng: &mut StdRng,
    ) {
        let worker = self.random_worker(rng);
        self.fleet.log_event(format!("worker {worker} crashes"));
        self.fleet.crash_worker(worker);
        sleep_between(rng, 100, 4000).await;
        self.fleet.crash_worker(worker);
        self.fleet.start_worker(worker).await;
    }

    async fn inject_worker_link_fault(
        &self,
        rng: &mut StdRng,
    ) {
        let worker = self.random_worker(rng);
        match rng.random_range(0..7) {
            5 => {
                self.fleet.log_event(format!(
                    "worker {worker} is cut off and refuses connections"
                ));
                self.fleet.cut_worker(worker, true);
                sleep_between(rng, 300, 5000).await;
                self.fleet.cut_worker(worker, false);
            }
            6 => {
                self.fleet.log_event(format!("worker {worker} leaves"));
                self.fleet.deregister_worker(worker).await;
                sleep_between(rng, 50, 2000).await;
                self.fleet.crash_worker(worker);
                sleep_between(rng, 100, 4000).await;
                self.fleet.crash_worker(worker);
                self.fleet.start_worker(worker).await;
            }
            0 => self.fleet.disrupt_worker_connections(worker, true),
            1 => self.fleet.disrupt_worker_connections(worker, false),
            2 => self
                .fleet
                .drop_start_answers(worker, rng.random_range(1..6)),
            _ => {
                let link = random_link_state(rng);
                self.fleet
                    .log_event(format!("link between guard and worker {worker}: {link:?}"));
                self.fleet.set_worker_link_state(worker, link);
                sleep_between(rng, 300, 5000).await;
                self.fleet.set_worker_link_state(worker, LinkState::Open);
            }
        }
    }

    pub(super) fn random_worker(
        &self,
        rng: &mut StdRng,
    ) -> usize {
        rng.random_range(0..self.fleet.nodes_of_role(Role::Guard).len())
    }
}

fn random_link_state(rng: &mut StdRng) -> LinkState {
    let delay_ms = rng.random_range(20..400);
    let states = [
        LinkState::Slow(delay_ms),
        LinkState::BlockedToServer,
        LinkState::BlockedToClient,
        LinkState::Blocked,
    ];
    states[rng.random_range(0..states.len())]
}

pub async fn sleep_between(
    rng: &mut StdRng,
    from_ms: u64,
    to_ms: u64,
) {
    compio::time::sleep(Duration::from_millis(rng.random_range(from_ms..to_ms))).await;
}
