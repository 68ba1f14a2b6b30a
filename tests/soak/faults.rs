//! Faults from outside, in series that overlap.

use {
    super::{fleet::Fleet, node::Role, proxy::Link},
    compio::runtime::{JoinHandle, spawn},
    limpetquay::{platform::stand_in::StoreFaults, prelude::*},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rustix::process::Signal,
    std::{cell::RefCell, collections::BTreeSet},
};

/// How long a stopping process may take: its grace period and the time until its end is seen.
const GRACE: Duration = Duration::from_millis(6500);

/// How often a stopping process is looked at.
const STOP_POLL: Duration = Duration::from_millis(50);

/// What is spoiled at present, so that one process suffers one signal at a time.
pub struct Faults {
    fleet: Rc<Fleet>,
    busy: RefCell<BTreeSet<usize>>,
}

impl Faults {
    pub fn new(fleet: Rc<Fleet>) -> Rc<Self> {
        Rc::new(Self {
            fleet,
            busy: RefCell::default(),
        })
    }

    /// Injects faults for some time, waits until the last one is over, and heals everything.
    pub async fn run(
        self: Rc<Self>,
        seed: u64,
        span: Duration,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let end = self.fleet.clock.now() + span.into();
        let mut open: Vec<JoinHandle<()>> = Vec::new();
        while self.fleet.clock.now() < end {
            sleep_between(&mut rng, 100, 900).await;
            let fault_seed = rng.random_range(0..u64::MAX);
            open.push(spawn(self.clone().inject(fault_seed)));
        }
        for fault in open {
            drop(fault.await);
        }
        self.fleet.store.set_faults(StoreFaults::default());
        for node in &self.fleet.nodes {
            node.store_link.set(Link::Open);
        }
    }

    async fn inject(
        self: Rc<Self>,
        seed: u64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let rng = &mut rng;
        match rng.random_range(0..20) {
            0..=5 => self.spoil_process(rng).await,
            6 => self.kill_all(rng).await,
            7..=9 => self.spoil_store(rng).await,
            10..=13 => self.spoil_store_link(rng).await,
            14..=15 => self.crash_worker(rng).await,
            _ => self.spoil_worker_link(rng).await,
        }
    }

    async fn spoil_process(
        &self,
        rng: &mut StdRng,
    ) {
        let node = rng.random_range(0..self.fleet.nodes.len());
        if !self.busy.borrow_mut().insert(node) {
            return;
        }
        let process = &self.fleet.nodes[node];
        let how = rng.random_range(0..4);
        let how_name = ["killed", "stopped", "paused", "told to reload"][how];
        self.fleet.note(format!("{} is {how_name}", process.name));
        process.calm_since.set(Millis(u64::MAX));
        match how {
            0 => {
                process.kill();
                sleep_between(rng, 50, 2500).await;
                process.start(&self.fleet.clock);
            }
            1 => {
                process.stopping.set(true);
                process.signal(Signal::TERM);
                self.wait_for_end(node).await;
                process.stopping.set(false);
                sleep_between(rng, 50, 1000).await;
                process.start(&self.fleet.clock);
            }
            2 => {
                process.signal(Signal::STOP);
                sleep_between(rng, 300, 5000).await;
                process.signal(Signal::CONT);
                process.calm_since.set(self.fleet.clock.now());
            }
            _ => {
                process.signal(Signal::HUP);
                process.calm_since.set(self.fleet.clock.now());
            }
        }
        self.busy.borrow_mut().remove(&node);
    }

    async fn wait_for_end(
        &self,
        node: usize,
    ) {
        let process = &self.fleet.nodes[node];
        let start = self.fleet.clock.now();
        loop {
            compio::time::sleep(STOP_POLL).await;
            if let Some(is_success) = process.take_stopped() {
                if !is_success {
                    let text = format!("{} ended with an error when told to stop", process.name);
                    self.fleet.violate(text);
                }
                return;
            }
            if self.fleet.clock.now().since(start) > GRACE {
                let text = format!("{} outlived its grace period", process.name);
                self.fleet.violate(text);
                process.kill();
                return;
            }
        }
    }

    async fn kill_all(
        &self,
        rng: &mut StdRng,
    ) {
        let nodes: Vec<usize> = (0..self.fleet.nodes.len())
            .filter(|n| self.busy.borrow_mut().insert(*n))
            .collect();
        self.fleet.note("all processes are killed".to_owned());
        for node in &nodes {
            self.fleet.nodes[*node].calm_since.set(Millis(u64::MAX));
            self.fleet.nodes[*node].kill();
        }
        sleep_between(rng, 100, 1500).await;
        for node in nodes {
            self.fleet.nodes[node].start(&self.fleet.clock);
            self.busy.borrow_mut().remove(&node);
        }
    }

    async fn spoil_store(
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
        self.fleet.note(format!("the store: {faults:?}"));
        self.fleet.store.set_faults(faults);
        sleep_between(rng, 300, 4000).await;
        self.fleet.store.set_faults(StoreFaults::default());
    }

    async fn spoil_store_link(
        &self,
        rng: &mut StdRng,
    ) {
        let node = &self.fleet.nodes[rng.random_range(0..self.fleet.nodes.len())];
        match rng.random_range(0..6) {
            0 => node.store_link.silence(),
            1 => node.store_link.reset(),
            _ => {
                let link = random_link(rng);
                self.fleet
                    .note(format!("{} and the store: {link:?}", node.name));
                node.store_link.set(link);
                sleep_between(rng, 300, 6000).await;
                node.store_link.set(Link::Open);
            }
        }
    }

    async fn crash_worker(
        &self,
        rng: &mut StdRng,
    ) {
        let worker = self.random_worker(rng);
        self.fleet.note(format!("worker {worker} crashes"));
        self.fleet.crash_worker(worker);
        sleep_between(rng, 100, 4000).await;
        self.fleet.crash_worker(worker);
        self.fleet.start_worker(worker).await;
    }

    async fn spoil_worker_link(
        &self,
        rng: &mut StdRng,
    ) {
        let worker = self.random_worker(rng);
        match rng.random_range(0..5) {
            0 => self.fleet.spoil_worker_connections(worker, true),
            1 => self.fleet.spoil_worker_connections(worker, false),
            2 => self.fleet.lose_starts(worker, rng.random_range(1..6)),
            _ => {
                let link = random_link(rng);
                self.fleet
                    .note(format!("guard and worker {worker}: {link:?}"));
                self.fleet.set_worker_link(worker, link);
                sleep_between(rng, 300, 5000).await;
                self.fleet.set_worker_link(worker, Link::Open);
            }
        }
    }

    fn random_worker(
        &self,
        rng: &mut StdRng,
    ) -> usize {
        rng.random_range(0..self.fleet.of_role(Role::Guard).len())
    }
}

fn random_link(rng: &mut StdRng) -> Link {
    let delay_ms = rng.random_range(20..400);
    let links = [Link::Slow(delay_ms), Link::CutUp, Link::CutDown, Link::Cut];
    links[rng.random_range(0..links.len())]
}

async fn sleep_between(
    rng: &mut StdRng,
    from_ms: u64,
    to_ms: u64,
) {
    compio::time::sleep(Duration::from_millis(rng.random_range(from_ms..to_ms))).await;
}
