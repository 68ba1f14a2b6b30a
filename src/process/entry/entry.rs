//! The state of one entry that its tasks share.

use {
    super::{ClaimEndQueue, Dialer, FleetHistory},
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

/// The state that the tasks of one entry share.
pub struct Entry {
    /// The entry's settings.
    pub settings: EntrySettings,
    /// The source of time.
    pub clock: Rc<dyn Clock>,
    /// The entry's metrics.
    pub metrics: Rc<Metrics>,
    /// The state folded from the log.
    pub state: Rc<State>,
    /// The known upstreams.
    pub members: Rc<RefCell<MemberTable>>,
    /// The known entries, this one among them.
    pub entries: Rc<RefCell<EntryTable>>,
    /// The counters of bytes that cross the link between regions.
    pub link_traffic: LinkTraffic,
    /// The upstreams seen so far, including those that no longer announce themselves.
    pub fleet_history: RefCell<FleetHistory>,
    /// The links to guards.
    pub dialer: Rc<dyn Dialer>,
    /// The policy that chooses upstreams for requests; benchmarks replace it at run time.
    pub routing: RefCell<Rc<dyn RoutingPolicy>>,
    /// The policy that chooses workers for gangs.
    pub placement: Box<dyn PlacementPolicy>,
    /// The scheduler of this entry's jobs.
    pub scheduler: Rc<QueueScheduler>,
    /// The generator of request and job identifiers.
    pub ids: IdGenerator,
    /// The queue, limits and upstream loads of requests.
    pub admission: Rc<Admission>,
    /// The ends of claimed requests that are still to be appended to the log.
    pub claim_ends: ClaimEndQueue,
    /// Whether the entry accepts no new work because it shuts down.
    pub is_draining: Cell<bool>,
}

impl Entry {
    /// Returns the document in force.
    pub fn document(&self) -> Rc<Document> {
        self.state.fold().document().clone()
    }

    /// Returns the link to an upstream's guard, or `None` when the upstream is not known.
    pub fn peer_of(
        &self,
        upstream: &UpstreamName,
    ) -> Option<Rc<dyn GuardPeer>> {
        let announcement = self.members.borrow().get(upstream)?;
        let peer = self.dialer.peer(announcement.guard_address);
        if self.link_traffic.crosses(&announcement.region) {
            return Some(Rc::new(CountedPeer::new(peer, self.link_traffic.clone())));
        }
        Some(peer)
    }

    /// Returns the names of the live entries that are not draining, sorted; includes this entry
    /// unless it is draining.
    pub fn live_entry_names(&self) -> Vec<EntryName> {
        let live = self.entries.borrow().live(self.clock.now());
        live.iter().map(|r| r.name.clone()).collect()
    }

    /// Returns whether the entry can serve: it has a document, knows a live upstream and is not
    /// draining.
    pub fn is_ready(&self) -> bool {
        let has_document = self.state.fold().version() > VersionNumber::default();
        let has_upstream = !self.members.borrow().live(self.clock.now()).is_empty();
        has_document && has_upstream && !self.is_draining.get()
    }
}
