//! A simulated datagram network in virtual time.

use {
    compio::runtime::spawn,
    event_listener::Event,
    limpetquay::{
        prelude::*,
        process::membership::{DatagramLink, ReceivedDatagram},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet, VecDeque},
    },
};

/// The faults that the network applies to datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkConditions {
    /// The percentage of datagrams that are lost.
    pub loss_percent: u32,
    /// The percentage of datagrams that are delivered twice.
    pub duplicate_percent: u32,
    /// The maximum delay in milliseconds. Each datagram draws its own, so datagrams are reordered.
    pub max_delay_ms: u64,
}

/// The received datagrams of one host.
#[derive(Default)]
struct Inbox {
    datagrams: RefCell<VecDeque<ReceivedDatagram>>,
    arrived: Event,
}

/// Returns the address of the load balancer in front of the entries.
pub fn balancer() -> SocketAddr {
    SocketAddr::from(([10, 9, 9, 9], 9))
}

/// The simulated network.
pub struct Network {
    clock: Rc<dyn Clock>,
    inboxes: RefCell<BTreeMap<SocketAddr, Rc<Inbox>>>,
    paused: RefCell<BTreeMap<SocketAddr, Vec<(SocketAddr, ReceivedDatagram)>>>,
    regions: RefCell<BTreeMap<SocketAddr, Region>>,
    broken_paths: RefCell<BTreeSet<(SocketAddr, SocketAddr)>>,
    behind_balancer: RefCell<BTreeSet<SocketAddr>>,
    conditions: Cell<NetworkConditions>,
    is_partitioned: Cell<bool>,
    link_bytes: Cell<u64>,
    bytes: RefCell<BTreeMap<SocketAddr, u64>>,
    rng: RefCell<StdRng>,
}

/// The socket of one host.
pub struct HostLink {
    network: Rc<Network>,
    address: SocketAddr,
    inbox: Rc<Inbox>,
}

impl Network {
    pub fn new(
        clock: Rc<dyn Clock>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            inboxes: RefCell::default(),
            paused: RefCell::default(),
            regions: RefCell::default(),
            broken_paths: RefCell::default(),
            behind_balancer: RefCell::default(),
            conditions: Cell::default(),
            is_partitioned: Cell::new(false),
            link_bytes: Cell::new(0),
            bytes: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// Opens a socket; an earlier socket at the address receives nothing more.
    pub fn bind(
        self: &Rc<Self>,
        address: SocketAddr,
        region: &Region,
    ) -> Rc<HostLink> {
        let inbox = Rc::new(Inbox::default());
        self.inboxes.borrow_mut().insert(address, inbox.clone());
        self.regions.borrow_mut().insert(address, region.clone());
        Rc::new(HostLink {
            network: self.clone(),
            address,
            inbox,
        })
    }

    pub fn unbind(
        &self,
        address: SocketAddr,
    ) {
        self.inboxes.borrow_mut().remove(&address);
        self.behind_balancer.borrow_mut().remove(&address);
        self.paused.borrow_mut().remove(&address);
    }

    pub fn set_conditions(
        &self,
        conditions: NetworkConditions,
    ) {
        self.conditions.set(conditions);
    }

    /// Partitions the regions, or reconnects them.
    pub fn set_partitioned(
        &self,
        is_partitioned: bool,
    ) {
        self.is_partitioned.set(is_partitioned);
    }

    /// Drops all datagrams between two hosts, in both directions.
    pub fn break_path(
        &self,
        a: SocketAddr,
        b: SocketAddr,
    ) {
        self.broken_paths.borrow_mut().extend([(a, b), (b, a)]);
    }

    /// Restores all broken paths.
    pub fn restore_paths(&self) {
        self.broken_paths.borrow_mut().clear();
    }

    /// Adds a host to those to which the load balancer forwards datagrams.
    pub fn add_to_balancer(
        &self,
        address: SocketAddr,
    ) {
        self.behind_balancer.borrow_mut().insert(address);
    }

    /// Holds back all datagrams from and to a host.
    pub fn pause(
        &self,
        address: SocketAddr,
    ) {
        self.paused.borrow_mut().entry(address).or_default();
    }

    /// Delivers the datagrams that were held back, and ends the pause.
    pub fn resume(
        self: &Rc<Self>,
        address: SocketAddr,
    ) {
        let held_back = self.paused.borrow_mut().remove(&address);
        for (to, received) in held_back.unwrap_or_default() {
            self.deliver(to, received);
        }
    }

    /// Returns the bytes that have been sent across the link between regions.
    pub fn link_bytes(&self) -> u64 {
        self.link_bytes.get()
    }

    /// Returns the bytes that a host has sent and received, headers included.
    pub fn host_bytes(
        &self,
        address: SocketAddr,
    ) -> u64 {
        self.bytes.borrow().get(&address).copied().unwrap_or(0)
    }

    fn send(
        self: &Rc<Self>,
        from: SocketAddr,
        to: SocketAddr,
        content: Vec<u8>,
    ) {
        let Some(to) = self.resolve(to) else {
            return;
        };
        self.count(from, to, content.len() as u64 + 28);
        if self.is_lost(from, to) {
            return;
        }
        let copies = if self.draw_fault(self.conditions.get().duplicate_percent) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let content = content.clone();
            self.schedule_delivery(to, ReceivedDatagram { from, content });
        }
    }

    /// Returns the host for an address; the load balancer chooses a random one.
    fn resolve(
        &self,
        address: SocketAddr,
    ) -> Option<SocketAddr> {
        if address != balancer() {
            return Some(address);
        }
        let hosts = self.behind_balancer.borrow();
        let count = hosts.len();
        let chosen = (count > 0).then(|| self.rng.borrow_mut().random_range(0..count));
        chosen.and_then(|i| hosts.iter().nth(i).copied())
    }

    fn count(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        bytes: u64,
    ) {
        if self.crosses(from, to) {
            self.link_bytes.set(self.link_bytes.get() + bytes);
        }
        let mut counts = self.bytes.borrow_mut();
        *counts.entry(from).or_default() += bytes;
        *counts.entry(to).or_default() += bytes;
    }

    fn crosses(
        &self,
        from: SocketAddr,
        to: SocketAddr,
    ) -> bool {
        let regions = self.regions.borrow();
        regions.get(&from) != regions.get(&to)
    }

    fn is_lost(
        &self,
        from: SocketAddr,
        to: SocketAddr,
    ) -> bool {
        let is_partitioned = self.is_partitioned.get() && self.crosses(from, to);
        is_partitioned
            || self.broken_paths.borrow().contains(&(from, to))
            || self.draw_fault(self.conditions.get().loss_percent)
    }

    fn draw_fault(
        &self,
        percent: u32,
    ) -> bool {
        percent > 0 && self.rng.borrow_mut().random_range(0..100) < percent
    }

    /// Delivers a datagram after its delay, unless one of its ends is paused.
    fn schedule_delivery(
        self: &Rc<Self>,
        to: SocketAddr,
        received: ReceivedDatagram,
    ) {
        let longest = self.conditions.get().max_delay_ms;
        let delay_ms = 1 + self.rng.borrow_mut().random_range(0..=longest);
        let network = self.clone();
        spawn(async move {
            let delay = Duration::from_millis(delay_ms);
            network.clock.sleep(delay).await;
            network.deliver(to, received);
        })
        .detach();
    }

    fn deliver(
        &self,
        to: SocketAddr,
        received: ReceivedDatagram,
    ) {
        let mut paused = self.paused.borrow_mut();
        for end in [received.from, to] {
            if let Some(held_back) = paused.get_mut(&end) {
                held_back.push((to, received));
                return;
            }
        }
        let inbox = self.inboxes.borrow().get(&to).cloned();
        if let Some(inbox) = inbox {
            inbox.datagrams.borrow_mut().push_back(received);
            inbox.arrived.notify(usize::MAX);
        }
    }
}

impl DatagramLink for HostLink {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn send(
        &self,
        to: SocketAddr,
        content: Vec<u8>,
    ) -> LocalBoxFuture<'_, ()> {
        self.network.send(self.address, to, content);
        Box::pin(std::future::ready(()))
    }

    fn receive(&self) -> LocalBoxFuture<'_, ReceivedDatagram> {
        Box::pin(async {
            loop {
                let arrived = self.inbox.arrived.listen();
                let next = self.inbox.datagrams.borrow_mut().pop_front();
                if let Some(received) = next {
                    return received;
                }
                arrived.await;
            }
        })
    }
}
