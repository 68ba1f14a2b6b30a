//! Builds an entry from the parts that differ between production and tests.

use {
    super::{ClaimEndQueue, Dialer, Entry},
    crate::{
        prelude::*,
        process::{
            admission::Admission,
            link::LinkTraffic,
            membership::{EntryRow, EntryTable, PublicationVersion, ServingState, new_incarnation},
            metrics::Metrics,
            settings::EntrySettings,
            state::State,
        },
        request::{IdGenerator, RoutingPolicy, WeighedPlacement},
    },
    std::cell::Cell,
};

/// The parts of an entry that differ between production, tests and benchmarks.
pub struct EntryBuilder {
    /// The entry's settings.
    pub settings: EntrySettings,
    /// The address at which it receives announcements.
    pub announcement_address: SocketAddr,
    /// The source of time.
    pub clock: Rc<dyn Clock>,
    /// The entry's metrics.
    pub metrics: Rc<Metrics>,
    /// The state folded from the log.
    pub state: State,
    /// The links to guards.
    pub dialer: Rc<dyn Dialer>,
    /// The policy that chooses upstreams for requests.
    pub routing: Rc<dyn RoutingPolicy>,
    /// The generator of request and job identifiers.
    pub ids: IdGenerator,
    /// The seed of the jitter of retry delays.
    pub jitter_seed: u64,
}

impl EntryBuilder {
    /// Builds an entry that knows no upstream and no other entry yet.
    pub fn build(self) -> Entry {
        let own = EntryRow {
            name: self.settings.name.clone(),
            region: self.settings.region.clone(),
            data_centre: self.settings.data_centre.clone(),
            address: self.announcement_address,
            incarnation: new_incarnation(&*self.clock),
            heartbeat: 0,
            serving: ServingState::Serving,
            published: PublicationVersion::default(),
        };
        let entries = EntryTable::new(own, self.settings.seeds.clone());
        Entry {
            link_traffic: LinkTraffic::new(self.settings.region.clone(), self.metrics.clone()),
            dialer: self.dialer,
            members: Rc::default(),
            entries: Rc::new(RefCell::new(entries)),
            settings: self.settings,
            metrics: self.metrics,
            state: Rc::new(self.state),
            routing: RefCell::new(self.routing),
            placement: Box::new(WeighedPlacement),
            scheduler: Rc::default(),
            fleet_history: RefCell::default(),
            ids: self.ids,
            admission: Admission::new(self.clock.clone(), self.jitter_seed),
            claim_ends: ClaimEndQueue::default(),
            clock: self.clock,
            is_draining: Cell::new(false),
        }
    }
}
