//! The entry.

use {
    super::{ClaimEnds, Dialer, FleetMemory},
    crate::{
        connection::GuardPeer,
        prelude::*,
        process::{
            admission::Admission,
            job_queue::QueueScheduler,
            link::{CountedPeer, LinkTraffic},
            membership::{EntryTable, MemberTable},
            metrics::Metrics,
            settings::EntrySettings,
            state::State,
        },
        request::{IdGenerator, PlacementPolicy, RoutingPolicy},
    },
    std::cell::Cell,
};

/// What the tasks of one entry share.
pub struct Entry {
    /// The entry's settings.
    pub settings: EntrySettings,
    /// The time.
    pub clock: Rc<dyn Clock>,
    /// The entry's metrics.
    pub metrics: Rc<Metrics>,
    /// The state that the log tells.
    pub state: Rc<State>,
    /// The known upstreams.
    pub members: Rc<RefCell<MemberTable>>,
    /// The known entries, this one among them.
    pub entries: Rc<RefCell<EntryTable>>,
    /// The count of what crosses the link between regions.
    pub link: LinkTraffic,
    /// The upstreams that were heard, also those that are silent now.
    pub fleet: RefCell<FleetMemory>,
    /// The links to guards.
    pub dialer: Rc<dyn Dialer>,
    /// The choice of upstreams for requests; measurements change it while the entry runs.
    pub routing: RefCell<Rc<dyn RoutingPolicy>>,
    /// The choice of workers for gangs.
    pub placement: Box<dyn PlacementPolicy>,
    /// The turns of its jobs.
    pub turns: Rc<QueueScheduler>,
    /// The source of identities.
    pub ids: IdGenerator,
    /// The queue, limits and loads of requests.
    pub admission: Rc<Admission>,
    /// The ends of claimed requests that are not yet on the log.
    pub claim_ends: ClaimEnds,
    /// Whether the entry takes no new work.
    pub draining: Cell<bool>,
}

impl Entry {
    /// Returns the document in force.
    pub fn document(&self) -> Rc<Document> {
        self.state.fold().document().clone()
    }

    /// Returns the link to an upstream's guard; `None` when the upstream is not known.
    pub fn peer_of(
        &self,
        upstream: &UpstreamName,
    ) -> Option<Rc<dyn GuardPeer>> {
        let announcement = self.members.borrow().get(upstream)?;
        let peer = self.dialer.peer(announcement.guard_address);
        if self.link.crosses(&announcement.region) {
            return Some(Rc::new(CountedPeer::new(peer, self.link.clone())));
        }
        Some(peer)
    }

    /// Returns the names of the entries that are known to live and take work, by name; this one is
    /// among them unless it is draining.
    pub fn live_entries(&self) -> Vec<EntryName> {
        let live = self.entries.borrow().live(self.clock.now());
        live.iter().map(|r| r.name.clone()).collect()
    }

    /// Tells whether the entry can serve: it has a document, knows an upstream and is not
    /// draining.
    pub fn is_ready(&self) -> bool {
        let has_document = self.state.fold().version() > VersionNumber::default();
        let has_upstream = !self.members.borrow().live(self.clock.now()).is_empty();
        has_document && has_upstream && !self.draining.get()
    }
}
