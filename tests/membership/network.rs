//! A network of datagrams in virtual time.

use {
    compio::runtime::spawn,
    event_listener::Event,
    limpetquay::{
        prelude::*,
        process::membership::{DatagramLink, Received},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet, VecDeque},
    },
};

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// How many of a hundred datagrams are lost.
    pub loss: u32,
    /// How many of a hundred datagrams come twice.
    pub doubled: u32,
    /// The longest delay, in milliseconds; each datagram draws its own, so they change order.
    pub delay_ms: u64,
}

/// One host's inbox.
#[derive(Default)]
struct Inbox {
    datagrams: RefCell<VecDeque<Received>>,
    arrived: Event,
}

/// Where the balancer before the entries is reached.
pub fn balancer() -> SocketAddr {
    SocketAddr::from(([10, 9, 9, 9], 9))
}

/// The network.
pub struct Network {
    clock: Rc<dyn Clock>,
    inboxes: RefCell<BTreeMap<SocketAddr, Rc<Inbox>>>,
    paused: RefCell<BTreeMap<SocketAddr, Vec<(SocketAddr, Received)>>>,
    regions: RefCell<BTreeMap<SocketAddr, Region>>,
    broken: RefCell<BTreeSet<(SocketAddr, SocketAddr)>>,
    behind_balancer: RefCell<BTreeSet<SocketAddr>>,
    weather: Cell<Weather>,
    cut: Cell<bool>,
    link_bytes: Cell<u64>,
    bytes: RefCell<BTreeMap<SocketAddr, u64>>,
    rng: RefCell<StdRng>,
}

/// One host's socket.
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
            broken: RefCell::default(),
            behind_balancer: RefCell::default(),
            weather: Cell::default(),
            cut: Cell::new(false),
            link_bytes: Cell::new(0),
            bytes: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// Opens a socket; the one that had the address before hears nothing more.
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

    pub fn set_weather(
        &self,
        weather: Weather,
    ) {
        self.weather.set(weather);
    }

    /// Cuts the link between regions, or mends it.
    pub fn set_cut(
        &self,
        cut: bool,
    ) {
        self.cut.set(cut);
    }

    /// Breaks the way between two hosts, both ways.
    pub fn break_way(
        &self,
        a: SocketAddr,
        b: SocketAddr,
    ) {
        self.broken.borrow_mut().extend([(a, b), (b, a)]);
    }

    /// Mends all broken ways.
    pub fn mend_ways(&self) {
        self.broken.borrow_mut().clear();
    }

    /// Has the balancer pass datagrams on to a host, among others.
    pub fn put_behind_balancer(
        &self,
        address: SocketAddr,
    ) {
        self.behind_balancer.borrow_mut().insert(address);
    }

    /// Holds back all that a host sends or should hear.
    pub fn pause(
        &self,
        address: SocketAddr,
    ) {
        self.paused.borrow_mut().entry(address).or_default();
    }

    /// Delivers all that was held back, and goes on.
    pub fn resume(
        self: &Rc<Self>,
        address: SocketAddr,
    ) {
        let held = self.paused.borrow_mut().remove(&address);
        for (to, received) in held.unwrap_or_default() {
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
        let Some(to) = self.behind(to) else {
            return;
        };
        self.count(from, to, content.len() as u64 + 28);
        if self.is_lost(from, to) {
            return;
        }
        let copies = if self.chance(self.weather.get().doubled) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let content = content.clone();
            self.post(to, Received { from, content });
        }
    }

    /// Returns the host that an address stands for.
    fn behind(
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
        let cut = self.cut.get() && self.crosses(from, to);
        cut || self.broken.borrow().contains(&(from, to)) || self.chance(self.weather.get().loss)
    }

    fn chance(
        &self,
        percent: u32,
    ) -> bool {
        percent > 0 && self.rng.borrow_mut().random_range(0..100) < percent
    }

    /// Delivers a datagram after its delay, unless one of its ends is paused.
    fn post(
        self: &Rc<Self>,
        to: SocketAddr,
        received: Received,
    ) {
        let longest = self.weather.get().delay_ms;
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
        received: Received,
    ) {
        let mut paused = self.paused.borrow_mut();
        for end in [received.from, to] {
            if let Some(held) = paused.get_mut(&end) {
                held.push((to, received));
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

    fn receive(&self) -> LocalBoxFuture<'_, Received> {
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
