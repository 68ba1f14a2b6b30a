//! The faults of the users' deployments that concern many processes at once, the leader, or a
//! worker beside its successor.

use {
    super::{
        fault_injector::{FaultInjector, sleep_between},
        node::Role,
        proxy::LinkState,
    },
    limpetquay::{platform::stand_in::StoreFaults, prelude::*},
    rand::{RngExt, rngs::StdRng},
    rustix::process::Signal,
};

/// How long the leader is observed for a placement before it is disturbed.
const MAX_PLACEMENT_WAIT: Duration = Duration::from_secs(3);

/// How often the leader's log is read meanwhile.
const LOG_CHECK_INTERVAL: Duration = Duration::from_millis(30);

impl FaultInjector {
    /// Injects one of the faults.
    pub async fn inject_site_fault(
        &self,
        rng: &mut StdRng,
    ) {
        let kinds = if self.fleet.scenario.overlaps_workers {
            16
        } else {
            14
        };
        match rng.random_range(0..kinds) {
            0 => self.reload_many(rng).await,
            1 => self.storm_of_versions(rng).await,
            2 => self.kill_all_entries(rng).await,
            3 => self.stop_one_after_the_other(rng).await,
            4 => self.refuse_one_entry(rng).await,
            5 => self.delay_appends(rng).await,
            6..=9 => self.disturb_leader(rng).await,
            10..=11 => self.drain_worker(rng).await,
            12 => self.crash_repeatedly(rng).await,
            13 => self.reset_store_links(rng),
            _ => self.replace_worker(rng).await,
        }
    }

    async fn reload_many(
        &self,
        rng: &mut StdRng,
    ) {
        self.fleet.log_event("a burst of reloads".to_owned());
        for _ in 0..rng.random_range(1..8) {
            for node in 0..self.fleet.nodes.len() {
                if rng.random_range(0..3) > 0 && !self.busy_nodes.borrow().contains(&node) {
                    self.fleet.nodes[node].signal(Signal::HUP);
                }
            }
            sleep_between(rng, 5, 400).await;
        }
    }

    async fn storm_of_versions(
        &self,
        rng: &mut StdRng,
    ) {
        self.fleet
            .log_event("a storm of configuration versions".to_owned());
        for _ in 0..rng.random_range(10..40) {
            let version = self.fleet.next_config_version();
            let config = super::config(version);
            let stored = self
                .fleet
                .store
                .put("keyed.op", "config", config.as_bytes());
            stored.expect("the configuration is stored");
            sleep_between(rng, 60, 330).await;
        }
    }

    async fn kill_all_entries(
        &self,
        rng: &mut StdRng,
    ) {
        self.fleet.log_event("all entries are killed".to_owned());
        let entries = self.take_nodes(self.fleet.nodes_of_role(Role::Entry));
        for entry in &entries {
            self.kill(*entry);
        }
        sleep_between(rng, 500, 9500).await;
        for entry in entries {
            self.restart(entry);
        }
    }

    async fn stop_one_after_the_other(
        &self,
        rng: &mut StdRng,
    ) {
        self.fleet
            .log_event("all processes are stopped one after the other".to_owned());
        let stops = (0..self.fleet.nodes.len()).map(|node| {
            let (start_ms, pause_ms) = (rng.random_range(1000..2000), rng.random_range(50..1000));
            async move {
                compio::time::sleep(Duration::from_millis(start_ms * node as u64)).await;
                if self.busy_nodes.borrow_mut().insert(node) {
                    self.stop_and_start(node, Duration::from_millis(pause_ms))
                        .await;
                    self.busy_nodes.borrow_mut().remove(&node);
                }
            }
        });
        futures_util::future::join_all(stops.collect::<Vec<_>>()).await;
    }

    async fn refuse_one_entry(
        &self,
        rng: &mut StdRng,
    ) {
        let entries = self.fleet.nodes_of_role(Role::Entry);
        let drawn = entries[rng.random_range(0..entries.len())];
        let entry = self.fleet.leader().filter(|_| rng.random_range(0..2) > 0);
        let node = &self.fleet.nodes[entry.unwrap_or(drawn)];
        self.fleet
            .log_event(format!("the store refuses {}", node.name));
        node.store_link.set_state(LinkState::Refused);
        sleep_between(rng, 300, 9000).await;
        node.store_link.set_state(LinkState::Open);
    }

    async fn delay_appends(
        &self,
        rng: &mut StdRng,
    ) {
        let faults = StoreFaults {
            append_delay_ms: rng.random_range(1000..6000),
            ..StoreFaults::default()
        };
        self.fleet
            .log_event(format!("faults of the store: {faults:?}"));
        self.fleet.store.set_faults(faults);
        sleep_between(rng, 100, 2500).await;
        self.fleet.store.set_faults(StoreFaults::default());
    }

    fn reset_store_links(
        &self,
        rng: &mut StdRng,
    ) {
        self.fleet
            .log_event("links to the store are reset".to_owned());
        for node in &self.fleet.nodes {
            if rng.random_range(0..2) > 0 {
                node.store_link.close_connections();
            }
        }
    }

    /// Kills or freezes the leader or cuts it off from the store, just after it has placed work if
    /// it does so soon.
    async fn disturb_leader(
        &self,
        rng: &mut StdRng,
    ) {
        let Some(leader) = self.fleet.leader() else {
            return;
        };
        let node = &self.fleet.nodes[leader];
        let before = node.last_time_of("unit placed");
        let start = self.fleet.clock.now();
        while node.last_time_of("unit placed") == before
            && self.fleet.clock.now().since(start) < MAX_PLACEMENT_WAIT
        {
            compio::time::sleep(LOG_CHECK_INTERVAL).await;
        }
        sleep_between(rng, 1, 400).await;
        if self.take_nodes(vec![leader]).is_empty() {
            return;
        }
        let fault = rng.random_range(0..3);
        let fault_name = ["killed", "frozen", "cut off from the store"][fault];
        self.fleet
            .log_event(format!("the leader {} is {fault_name}", node.name));
        match fault {
            0 => {
                self.kill(leader);
                sleep_between(rng, 50, 5000).await;
                self.restart(leader);
            }
            1 => {
                node.undisturbed_since.set(Millis(u64::MAX));
                node.signal(Signal::STOP);
                sleep_between(rng, 1000, 9000).await;
                node.signal(Signal::CONT);
                node.undisturbed_since.set(self.fleet.clock.now());
                self.busy_nodes.borrow_mut().remove(&leader);
            }
            _ => {
                node.store_link.set_state(LinkState::Blocked);
                sleep_between(rng, 1000, 9000).await;
                node.store_link.set_state(LinkState::Open);
                self.busy_nodes.borrow_mut().remove(&leader);
            }
        }
    }

    /// Lets a worker announce its end, end as announced and start again.
    async fn drain_worker(
        &self,
        rng: &mut StdRng,
    ) {
        let worker = self.random_worker(rng);
        let remaining_ms = rng.random_range(500..6000);
        self.fleet
            .log_event(format!("worker {worker} drains, {remaining_ms} ms"));
        self.fleet.drain_worker(worker, remaining_ms);
        compio::time::sleep(Duration::from_millis(remaining_ms)).await;
        if rng.random_range(0..2) > 0 {
            self.fleet.deregister_worker(worker).await;
            sleep_between(rng, 1, 4000).await;
        }
        self.restart_worker(worker, rng, 4000).await;
    }

    async fn crash_repeatedly(
        &self,
        rng: &mut StdRng,
    ) {
        let worker = self.random_worker(rng);
        self.fleet
            .log_event(format!("worker {worker} crashes repeatedly"));
        for _ in 0..rng.random_range(2..6) {
            self.restart_worker(worker, rng, 1500).await;
            sleep_between(rng, 100, 2500).await;
        }
    }

    /// Starts the successor of a worker before the worker has ended.
    async fn replace_worker(
        &self,
        rng: &mut StdRng,
    ) {
        let worker = self.random_worker(rng);
        let (is_cut, is_drained) = (rng.random_range(0..3) == 0, rng.random_range(0..2) > 0);
        self.fleet.log_event(format!(
            "worker {worker} is replaced; cut: {is_cut}, drained: {is_drained}"
        ));
        if is_drained {
            self.fleet.drain_worker(worker, rng.random_range(500..6000));
            sleep_between(rng, 0, 3000).await;
        }
        self.fleet.cut_worker(worker, is_cut);
        let Some(number) = self.fleet.replace_worker(worker).await else {
            return;
        };
        sleep_between(rng, 100, 5000).await;
        self.fleet.end_replaced_worker(number);
        self.fleet.log_event(format!("w-{number} has ended"));
    }

    async fn restart_worker(
        &self,
        worker: usize,
        rng: &mut StdRng,
        longest_pause_ms: u64,
    ) {
        self.fleet.crash_worker(worker);
        sleep_between(rng, 100, longest_pause_ms).await;
        self.fleet.crash_worker(worker);
        self.fleet.start_worker(worker).await;
    }

    /// Returns those of the nodes that no other fault is applied to, and reserves them.
    fn take_nodes(
        &self,
        nodes: Vec<usize>,
    ) -> Vec<usize> {
        let mut busy = self.busy_nodes.borrow_mut();
        nodes.into_iter().filter(|n| busy.insert(*n)).collect()
    }

    fn kill(
        &self,
        node: usize,
    ) {
        let process = &self.fleet.nodes[node];
        process.undisturbed_since.set(Millis(u64::MAX));
        process.kill();
    }

    fn restart(
        &self,
        node: usize,
    ) {
        self.fleet.nodes[node].start(&self.fleet.clock);
        self.busy_nodes.borrow_mut().remove(&node);
    }
}
