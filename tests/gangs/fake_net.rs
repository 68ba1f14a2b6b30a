//! A network between processes that loses, doubles and delays calls.

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

/// How likely faults are, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost: u32,
    pub doubled: u32,
    pub late: u32,
}

/// A guard's process on the network.
#[derive(Clone)]
pub struct GuardHost {
    pub guard: Rc<Guard>,
    pub node: Rc<Node>,
}

pub struct Net {
    pub node: Rc<Node>,
    pub faults: Cell<Faults>,
    hosts: RefCell<BTreeMap<SocketAddr, GuardHost>>,
    cut: RefCell<Vec<(SocketAddr, SocketAddr)>>,
    rng: RefCell<SmallRng>,
}

impl Net {
    pub fn new(
        node: Rc<Node>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            node,
            faults: Cell::default(),
            hosts: RefCell::default(),
            cut: RefCell::default(),
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

    /// Cuts two addresses off from each other, or joins them again.
    pub fn set_cut(
        &self,
        pair: (SocketAddr, SocketAddr),
        cut: bool,
    ) {
        let mut all = self.cut.borrow_mut();
        all.retain(|p| *p != pair);
        if cut {
            all.push(pair);
        }
    }

    pub fn is_cut(
        &self,
        from: SocketAddr,
        to: SocketAddr,
    ) -> bool {
        let cut = self.cut.borrow();
        cut.contains(&(from, to)) || cut.contains(&(to, from))
    }

    pub fn number(
        &self,
        below: u64,
    ) -> u64 {
        self.rng.borrow_mut().random_range(0..below)
    }

    fn chance(
        &self,
        percent: u32,
    ) -> bool {
        self.number(100) < u64::from(percent)
    }

    async fn travel(&self) {
        let late = self.chance(self.faults.get().late);
        let ms = if late {
            self.number(8000)
        } else {
            self.number(20)
        };
        self.node.clock.sleep(Duration::from_millis(ms)).await;
    }

    /// Carries a call to the guard that stands at the address when it arrives.
    async fn deliver(
        self: Rc<Self>,
        from: SocketAddr,
        to: SocketAddr,
        req: GuardRequest,
    ) -> Result<GuardReply, LinkError> {
        self.travel().await;
        let host = self.host(to).filter(|h| !h.node.is_dead());
        let Some(host) = host.filter(|_| !self.is_cut(from, to)) else {
            return Err(LinkError::NotSent);
        };
        if self.chance(self.faults.get().lost) {
            return Err(LinkError::ReplyLost);
        }
        host.node.gate().await;
        let reply = host.guard.clone().handle(req).await;
        host.node.gate().await;
        self.travel().await;
        if self.chance(self.faults.get().lost) || self.is_cut(from, to) {
            return Err(LinkError::ReplyLost);
        }
        Ok(reply)
    }
}

/// The network as one process sees it.
pub struct FakeDialer {
    pub net: Rc<Net>,
    pub node: Rc<Node>,
    pub address: SocketAddr,
}

struct FakePeer {
    net: Rc<Net>,
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
            self.node.gate().await;
            if self.net.chance(self.net.faults.get().doubled) {
                let twice = self.net.clone().deliver(self.from, self.to, req.clone());
                spawn(twice).detach();
            }
            let (tx, rx) = oneshot::channel();
            let delivery = self.net.clone().deliver(self.from, self.to, req);
            spawn(async move {
                let _ = tx.send(delivery.await);
            })
            .detach();
            let reply = rx.await.unwrap_or(Err(LinkError::ReplyLost));
            self.node.gate().await;
            reply
        })
    }
}
