//! What an entry is built from.

use {
    super::{ClaimEnds, Dialer, Entry},
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

/// What differs between an entry in use and one in a test or measurement.
pub struct EntryParts {
    /// The entry's settings.
    pub settings: EntrySettings,
    /// Where it hears announcements.
    pub address: SocketAddr,
    /// The time.
    pub clock: Rc<dyn Clock>,
    /// The entry's metrics.
    pub metrics: Rc<Metrics>,
    /// The state that the log tells.
    pub state: State,
    /// The links to guards.
    pub dialer: Rc<dyn Dialer>,
    /// The choice of upstreams for requests.
    pub routing: Rc<dyn RoutingPolicy>,
    /// The source of identities.
    pub ids: IdGenerator,
    /// The seed of the pauses before retries.
    pub seed: u64,
}

impl EntryParts {
    /// Builds an entry that knows no upstream and no other entry.
    pub fn build(self) -> Entry {
        let own = EntryRow {
            name: self.settings.name.clone(),
            region: self.settings.region.clone(),
            data_centre: self.settings.data_centre.clone(),
            address: self.address,
            incarnation: new_incarnation(&*self.clock),
            heartbeat: 0,
            serving: ServingState::Serving,
            published: PublicationVersion::default(),
        };
        let entries = EntryTable::new(own, self.settings.seeds.clone());
        Entry {
            link: LinkTraffic::new(self.settings.region.clone(), self.metrics.clone()),
            dialer: self.dialer,
            members: Rc::default(),
            entries: Rc::new(RefCell::new(entries)),
            settings: self.settings,
            metrics: self.metrics,
            state: Rc::new(self.state),
            routing: RefCell::new(self.routing),
            placement: Box::new(WeighedPlacement),
            turns: Rc::default(),
            fleet: RefCell::default(),
            ids: self.ids,
            admission: Admission::new(self.clock.clone(), self.seed),
            claim_ends: ClaimEnds::default(),
            clock: self.clock,
            draining: Cell::new(false),
        }
    }
}
