//! Opens and shares the links to guards.

use {
    crate::{
        connection::{GuardPeer, PeerLink},
        prelude::*,
        process::metrics::Metrics,
    },
    std::collections::HashMap,
};

/// Provides links to guards.
pub trait Dialer {
    /// Returns the link to the guard at an address.
    fn peer(
        &self,
        address: SocketAddr,
    ) -> Rc<dyn GuardPeer>;
}

/// A dialer that opens one [`PeerLink`] per guard address and reuses it.
pub struct LinkDialer {
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    links: RefCell<HashMap<SocketAddr, Rc<PeerLink>>>,
}

impl LinkDialer {
    /// Creates a dialer without open links.
    pub fn new(
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self {
            clock,
            metrics,
            links: RefCell::default(),
        }
    }
}

impl Dialer for LinkDialer {
    fn peer(
        &self,
        address: SocketAddr,
    ) -> Rc<dyn GuardPeer> {
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(address)
            .or_insert_with(|| PeerLink::open(address, self.clock.clone(), self.metrics.clone()));
        link.clone()
    }
}
