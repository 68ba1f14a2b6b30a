//! A network between processes that drops, duplicates and delays calls.

use {
    super::node::Node,
    compio::runtime::spawn,
    futures_channel::oneshot,
    limpetquay::{
        connection::{GuardPeer, GuardReply, GuardRequest, LinkError, PeerHandler},
        prelude::*,
        process::{entry::Dialer, guard::Guard},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{cell::Cell, collections::BTreeMap},
};

/// The probability of each fault, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub drop_percent: u32,
    pub duplicate_percent: u32,
    pub delay_percent: u32,
}

/// A guard process on the network.
#[derive(Clone)]
pub struct GuardHost {
    pub guard: Rc<Guard>,
    pub node: Rc<Node>,
}

pub struct FakeNet {
    pub node: Rc<Node>,
    pub faults: Cell<Faults>,
    hosts: RefCell<BTreeMap<SocketAddr, GuardHost>>,
    partitions: RefCell<Vec<(SocketAddr, SocketAddr)>>,
    rng: RefCell<SmallRng>,
}

impl FakeNet {
    pub fn new(
        node: Rc<Node>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            node,
            faults: Cell::default(),
            hosts: RefCell::default(),
            partitions: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        })
    }

    pub fn host(
        &self,
        address: SocketAddr,
    ) -> Option<GuardHost> {
        self.hosts.borrow().get(&address).cloned()
    }

    pub fn set_host(
        &self,
        address: SocketAddr,
        host: GuardHost,
    ) {
        self.hosts.borrow_mut().insert(address, host);
    }

    /// Partitions two addresses from each other, or reconnects them.
    pub fn set_partitioned(
        &self,
        pair: (SocketAddr, SocketAddr),
        partitioned: bool,
    ) {
        let mut partitions = self.partitions.borrow_mut();
        partitions.retain(|p| *p != pair);
        if partitioned {
            partitions.push(pair);
        }
    }

    pub fn is_partitioned(
        &self,
        from: SocketAddr,
        to: SocketAddr,
    ) -> bool {
        let partitions = self.partitions.borrow();
        partitions.contains(&(from, to)) || partitions.contains(&(to, from))
    }

    /// Returns a random number from 0 to `limit - 1`.
    pub fn random_below(
        &self,
        limit: u64,
    ) -> u64 {
        self.rng.borrow_mut().random_range(0..limit)
    }

    fn draw_fault(
        &self,
        percent: u32,
    ) -> bool {
        self.random_below(100) < u64::from(percent)
    }

    /// Waits for a random network delay.
    async fn delay_message(&self) {
        let is_late = self.draw_fault(self.faults.get().delay_percent);
        let ms = if is_late {
            self.random_below(8000)
        } else {
            self.random_below(20)
        };
        self.node.clock.sleep(Duration::from_millis(ms)).await;
    }

    /// Delivers a call to the guard that runs at the address when the call arrives.
    async fn deliver(
        self: Rc<Self>,
        from: SocketAddr,
        to: SocketAddr,
        req: GuardRequest,
    ) -> Result<GuardReply, LinkError> {
        self.delay_message().await;
        let host = self.host(to).filter(|h| !h.node.is_dead());
        let Some(host) = host.filter(|_| !self.is_partitioned(from, to)) else {
            return Err(LinkError::NotSent);
        };
        if self.draw_fault(self.faults.get().drop_percent) {
            return Err(LinkError::ReplyLost);
        }
        host.node.wait_until_running().await;
        let reply = host.guard.clone().handle(req).await;
        host.node.wait_until_running().await;
        self.delay_message().await;
        if self.draw_fault(self.faults.get().drop_percent) || self.is_partitioned(from, to) {
            return Err(LinkError::ReplyLost);
        }
        Ok(reply)
    }
}

/// The connection of one process to the network.
pub struct FakeDialer {
    pub net: Rc<FakeNet>,
    pub node: Rc<Node>,
    pub address: SocketAddr,
}

struct FakePeer {
    net: Rc<FakeNet>,
    node: Rc<Node>,
    from: SocketAddr,
    to: SocketAddr,
}

impl Dialer for FakeDialer {
    fn peer(
        &self,
        address: SocketAddr,
    ) -> Rc<dyn GuardPeer> {
        Rc::new(FakePeer {
            net: self.net.clone(),
            node: self.node.clone(),
            from: self.address,
            to: address,
        })
    }
}

impl GuardPeer for FakePeer {
    fn call(
        &self,
        req: GuardRequest,
    ) -> LocalBoxFuture<'_, Result<GuardReply, LinkError>> {
        Box::pin(async move {
            self.node.wait_until_running().await;
            if self.net.draw_fault(self.net.faults.get().duplicate_percent) {
                let duplicate = self.net.clone().deliver(self.from, self.to, req.clone());
                spawn(duplicate).detach();
            }
            let (tx, rx) = oneshot::channel();
            let delivery = self.net.clone().deliver(self.from, self.to, req);
            spawn(async move {
                let _ = tx.send(delivery.await);
            })
            .detach();
            let reply = rx.await.unwrap_or(Err(LinkError::ReplyLost));
            self.node.wait_until_running().await;
            reply
        })
    }
}
