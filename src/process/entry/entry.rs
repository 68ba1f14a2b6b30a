//! The entry.

use {
    super::{ClaimEnds, Dialer},
    crate::{
        connection::GuardPeer,
        prelude::*,
        process::{
            admission::Admission, membership::MemberTable, metrics::Metrics,
            settings::EntrySettings, state::State,
        },
        request::{IdSource, PlacementPolicy, RoutingPolicy},
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
    pub members: RefCell<MemberTable>,
    /// The links to guards.
    pub dialer: Rc<dyn Dialer>,
    /// The choice of upstreams for requests.
    pub routing: Box<dyn RoutingPolicy>,
    /// The choice of workers for gangs.
    pub placement: Box<dyn PlacementPolicy>,
    /// The source of identities.
    pub ids: IdSource,
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
        Some(self.dialer.peer(announcement.guard_address))
    }

    /// Returns the names of the entries that are known to live, this one among them.
    pub fn live_entries(&self) -> Vec<EntryName> {
        vec![self.settings.name.clone()]
    }

    /// Tells whether the entry can serve: it has a document, knows an upstream and is not
    /// draining.
    pub fn is_ready(&self) -> bool {
        let has_document = self.state.fold().version() > VersionNumber::default();
        let has_upstream = !self.members.borrow().live(self.clock.now()).is_empty();
        has_document && has_upstream && !self.draining.get()
    }
}
