//! A fleet of entries and guards on the simulated network, and its actual state.

use {
    crate::{
        entries::PLACES,
        network::{Network, balancer},
    },
    event_listener::Event,
    limpetquay::{
        prelude::*,
        process::{
            clock::VirtualClock,
            membership::{
                Announcement, Announcer, AnnouncerContext, EntryRow, EntryTable, MemberTable,
                Membership, MembershipContext, PublicationVersion, ServingState,
            },
            metrics::Metrics,
        },
    },
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet},
    },
};

/// The number of low bits of an incarnation that follow the wall-clock time.
const INCARNATION_BITS: u32 = 16;

/// A data centre of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub region: &'static str,
    pub data_centre: &'static str,
}

/// One entry.
pub struct FleetEntry {
    pub address: SocketAddr,
    pub place: Place,
    pub table: Rc<RefCell<EntryTable>>,
    pub members: Rc<RefCell<MemberTable>>,
    pub membership: Rc<Membership>,
}

/// One guard.
pub struct FleetGuard {
    pub address: SocketAddr,
    pub announcer: Rc<Announcer>,
    pub announcement: Rc<RefCell<Announcement>>,
    pub changed: Rc<Event>,
}

/// The incarnation and serving state of each upstream.
pub type UpstreamStates = BTreeMap<String, (u64, ServingState)>;

/// The entries and guards of a test.
pub struct Fleet {
    pub clock: Rc<VirtualClock>,
    pub network: Rc<Network>,
    pub entries: BTreeMap<String, FleetEntry>,
    pub guards: BTreeMap<String, FleetGuard>,
    next_port: Cell<u16>,
    next_start: Cell<u64>,
    seed: u64,
}

impl Fleet {
    pub fn new(
        clock: Rc<VirtualClock>,
        seed: u64,
    ) -> Self {
        Self {
            network: Network::new(clock.clone(), seed),
            clock,
            entries: BTreeMap::new(),
            guards: BTreeMap::new(),
            next_port: Cell::new(1),
            next_start: Cell::new(0),
            seed,
        }
    }

    /// Returns an address that no host has used.
    pub fn fresh_address(&self) -> SocketAddr {
        let port = self.next_port.get();
        self.next_port.set(port + 1);
        SocketAddr::from(([10, 0, 0, 1], port))
    }

    /// Returns a new incarnation; the low bits distinguish starts within a millisecond.
    fn new_incarnation(&self) -> u64 {
        let start = self.next_start.get();
        self.next_start.set(start + 1);
        (self.clock.wall_time().0 << INCARNATION_BITS) | start
    }

    /// Starts the given number of entries and guards in each place.
    pub fn populate(
        &mut self,
        places: &[Place],
        entries: u32,
        guards: u32,
    ) {
        for place in places {
            for i in 0..entries {
                let name = format!("e-{}-{i}", place.data_centre);
                let address = self.fresh_address();
                self.start_entry(&name, *place, address);
            }
        }
        for place in places {
            for i in 0..guards {
                let name = format!("{}-w{i}", place.data_centre);
                let address = self.fresh_address();
                self.start_guard(&name, *place, address);
            }
        }
    }

    /// Starts an entry whose only seed is the load balancer.
    pub fn start_entry(
        &mut self,
        name: &str,
        place: Place,
        address: SocketAddr,
    ) {
        let own = EntryRow {
            name: name.into(),
            region: place.region.into(),
            data_centre: place.data_centre.into(),
            address,
            incarnation: self.new_incarnation(),
            heartbeat: 0,
            serving: ServingState::Serving,
            published: PublicationVersion::default(),
        };
        self.network.add_to_balancer(address);
        let table = Rc::new(RefCell::new(EntryTable::new(own, vec![balancer()])));
        let members: Rc<RefCell<MemberTable>> = Rc::default();
        let membership = Membership::start(MembershipContext {
            clock: self.clock.clone(),
            link: self.network.bind(address, &place.region.into()),
            metrics: Rc::new(Metrics::default()),
            entries: table.clone(),
            members: members.clone(),
            seed: self.seed + u64::from(address.port()),
        });
        let entry = FleetEntry {
            address,
            place,
            table,
            members,
            membership,
        };
        self.entries.insert(name.to_owned(), entry);
    }

    /// Starts a guard whose only seed is the load balancer.
    pub fn start_guard(
        &mut self,
        name: &str,
        place: Place,
        address: SocketAddr,
    ) {
        let announcement = Announcement {
            upstream: name.into(),
            incarnation: self.new_incarnation(),
            sequence: 0,
            guard_address: address,
            region: place.region.into(),
            data_centre: place.data_centre.into(),
            rack: "rack-1".into(),
            serving: ServingState::Serving,
            slots: 8,
            slots_in_use: 0,
            accelerators: AcceleratorSet::first(8),
            accelerators_free: AcceleratorSet::first(8),
            plain_tasks: 0,
            plain_free: 0,
            evictable: AcceleratorSet::empty(),
            guaranteed: Vec::new(),
            orphans: Vec::new(),
            version: VersionNumber::default(),
        };
        let announcement = Rc::new(RefCell::new(announcement));
        let changed = Rc::new(Event::new());
        let described = announcement.clone();
        let describe = move || {
            let mut announcement = described.borrow_mut();
            announcement.sequence += 1;
            announcement.clone()
        };
        let announcer = Announcer::start(AnnouncerContext {
            clock: self.clock.clone(),
            link: self.network.bind(address, &place.region.into()),
            seeds: vec![balancer()],
            changed: changed.clone(),
            next_announcement: Box::new(describe),
            seed: self.seed + u64::from(address.port()),
        });
        let guard = FleetGuard {
            address,
            announcer,
            announcement,
            changed,
        };
        self.guards.insert(name.to_owned(), guard);
    }

    /// Kills an entry without notification to others.
    pub fn kill_entry(
        &mut self,
        name: &str,
    ) -> Option<FleetEntry> {
        let entry = self.entries.remove(name)?;
        entry.membership.kill();
        self.network.unbind(entry.address);
        Some(entry)
    }

    /// Kills a guard without notification to others.
    pub fn kill_guard(
        &mut self,
        name: &str,
    ) -> Option<FleetGuard> {
        let guard = self.guards.remove(name)?;
        guard.announcer.kill();
        self.network.unbind(guard.address);
        Some(guard)
    }

    /// Changes what a guard announces.
    pub fn change_guard<F>(
        &self,
        name: &str,
        change: F,
    ) where
        F: FnOnce(&mut Announcement),
    {
        if let Some(guard) = self.guards.get(name) {
            change(&mut guard.announcement.borrow_mut());
            guard.changed.notify(usize::MAX);
        }
    }

    pub async fn wait(
        &self,
        span: Duration,
    ) {
        self.clock.sleep(span).await;
    }

    /// Waits until a condition holds and returns how long that took, or `None` after `limit`.
    pub async fn wait_until<F>(
        &self,
        limit: Duration,
        condition: F,
    ) -> Option<Duration>
    where
        F: Fn(&Self) -> bool,
    {
        let start = self.clock.now();
        while !condition(self) {
            if self.clock.now().since(start) >= limit {
                return None;
            }
            self.wait(Duration::from_millis(10)).await;
        }
        Some(self.clock.now().since(start))
    }

    /// Returns the actual state of all upstreams, which every table is expected to reach.
    pub fn expected_upstreams(&self) -> UpstreamStates {
        let guards = self.guards.iter();
        let expected = guards.map(|(name, g)| {
            let announcement = g.announcement.borrow();
            let state = (announcement.incarnation, announcement.serving);
            (name.clone(), state)
        });
        expected.collect()
    }

    /// Returns the state of the upstreams that an entry knows to be live.
    pub fn known(
        &self,
        entry: &str,
    ) -> UpstreamStates {
        let live = self.entries[entry].members.borrow().live(self.clock.now());
        let known = live
            .iter()
            .map(|a| (a.upstream.to_string(), (a.incarnation, a.serving)));
        known.collect()
    }

    /// Returns the entries that an entry knows to be live.
    pub fn known_entries(
        &self,
        entry: &str,
    ) -> BTreeSet<String> {
        let live = self.entries[entry].table.borrow().live(self.clock.now());
        live.iter().map(|r| r.name.to_string()).collect()
    }

    /// Returns whether the tables of all entries equal the actual state.
    pub fn is_settled(&self) -> bool {
        let expected = self.expected_upstreams();
        let names: BTreeSet<String> = self.entries.keys().cloned().collect();
        let mut entries = self.entries.keys();
        entries.all(|e| self.known(e) == expected && self.known_entries(e) == names)
    }

    /// Describes each difference between an entry's tables and the actual state.
    pub fn differences(&self) -> Vec<String> {
        let expected = self.expected_upstreams();
        let names: BTreeSet<String> = self.entries.keys().cloned().collect();
        let mut differences = Vec::new();
        for entry in self.entries.keys() {
            let known = self.known(entry);
            for name in expected.keys().chain(known.keys()).collect::<BTreeSet<_>>() {
                if expected.get(name) != known.get(name) {
                    let (expected, actual) = (expected.get(name), known.get(name));
                    differences.push(format!("{entry}: {name} is {expected:?}, known {actual:?}"));
                }
            }
            let known = self.known_entries(entry);
            if known != names {
                differences.push(format!("{entry}: knows entries {known:?}"));
            }
        }
        differences
    }
}

/// Runs a scenario on a settled fleet with two entries and three guards in each place.
pub fn run_settled<F>(
    seed: u64,
    scenario: F,
) -> Vec<String>
where
    F: AsyncFnOnce(&mut Fleet) -> Vec<String> + 'static,
{
    let clock = VirtualClock::new();
    let cx = clock.clone();
    clock.block_on(async move {
        let mut fleet = Fleet::new(cx, seed);
        fleet.populate(&PLACES, 2, 3);
        fleet.wait(Duration::from_secs(10)).await;
        scenario(&mut fleet).await
    })
}
