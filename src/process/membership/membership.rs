//! The part that one entry takes in membership.

use {
    super::{
        Datagram, DatagramLink, EntryRow, EntryTable, MemberTable, ServingState,
        contact_task::run_contacts, hear_task::run_hearing, publication::Publication,
        publish_task::run_publishing, watch_task::Watch,
    },
    crate::{
        prelude::*,
        process::{
            link::{ByteBudget, LinkAccount, LinkPurpose},
            metrics::Metrics,
            task_group::TaskGroup,
        },
    },
    event_listener::Event,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cell::Cell, collections::BTreeMap},
};

/// The bytes of the UDP and IP headers of a datagram.
pub(super) const DATAGRAM_HEADER_BYTES: usize = 28;

/// The bytes a second that an entry's answers to entries of other regions may take.
const LINK_BYTES_PER_SECOND: u64 = 16 << 10;

/// The most bytes of such answers at once.
const LINK_BURST_BYTES: u64 = 32 << 10;

/// How long a stopping entry waits for the guards that it watches to choose other watchers.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a stopping entry looks whether it still watches.
const HAND_OVER_POLL: Duration = Duration::from_millis(50);

/// How long the rows of an entry that leaves still count.
pub(super) const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// What an entry's membership shares with the rest of the entry.
pub struct MembershipParts {
    /// The time.
    pub clock: Rc<dyn Clock>,
    /// The socket.
    pub link: Rc<dyn DatagramLink>,
    /// The entry's metrics.
    pub metrics: Rc<Metrics>,
    /// The known entries.
    pub entries: Rc<RefCell<EntryTable>>,
    /// The known upstreams.
    pub members: Rc<RefCell<MemberTable>>,
    /// The seed of the random parts of pauses.
    pub seed: u64,
}

/// What the membership tasks of one entry share.
pub struct Membership {
    pub(super) clock: Rc<dyn Clock>,
    pub(super) link: Rc<dyn DatagramLink>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) account: LinkAccount,
    pub(super) entries: Rc<RefCell<EntryTable>>,
    pub(super) members: Rc<RefCell<MemberTable>>,
    pub(super) publication: RefCell<Publication>,
    pub(super) publish: Event,
    pub(super) beat: Event,
    pub(super) watches: RefCell<BTreeMap<UpstreamName, Rc<Watch>>>,
    pub(super) peers: RefCell<BTreeMap<EntryName, TaskGroup>>,
    pub(super) link_budget: ByteBudget,
    started: Millis,
    pub(super) joined: Cell<Option<Millis>>,
    rng: RefCell<StdRng>,
    tasks: TaskGroup,
}

impl Membership {
    /// Starts the tasks. They end with [`Membership::kill`] or [`Membership::leave`].
    pub fn start(parts: MembershipParts) -> Rc<Self> {
        let region = parts.entries.borrow().own().region.clone();
        let started = parts.clock.now();
        let membership = Rc::new(Self {
            account: LinkAccount::new(region, parts.metrics.clone()),
            clock: parts.clock,
            link: parts.link,
            metrics: parts.metrics,
            entries: parts.entries,
            members: parts.members,
            publication: RefCell::default(),
            publish: Event::new(),
            beat: Event::new(),
            watches: RefCell::default(),
            peers: RefCell::default(),
            link_budget: ByteBudget::new(LINK_BYTES_PER_SECOND, LINK_BURST_BYTES),
            joined: Cell::new(None),
            started,
            rng: RefCell::new(StdRng::seed_from_u64(parts.seed)),
            tasks: TaskGroup::default(),
        });
        membership.tasks.spawn(run_hearing(membership.clone()));
        membership.tasks.spawn(run_contacts(membership.clone()));
        membership.tasks.spawn(run_publishing(membership.clone()));
        membership
    }

    /// Stops being a candidate for new work, so that guards choose other watchers.
    pub fn drain(&self) {
        self.set_serving(ServingState::Draining);
        for watch in self.watches.borrow().values() {
            watch.offer_candidates();
        }
    }

    /// Waits until other entries watch, tells the others that this one leaves, and ends.
    pub async fn leave(&self) {
        self.drain();
        let deadline = self.clock.now() + Millis::from(HAND_OVER_TIMEOUT);
        while !self.is_handed_over() && self.clock.now() < deadline {
            self.clock.sleep(HAND_OVER_POLL).await;
        }
        self.set_serving(ServingState::Leaving);
        let now = self.clock.now();
        let row = self.own_row();
        let peers = self.entries.borrow().live_peers(now);
        for peer in peers {
            let datagram = Datagram::Heartbeats(vec![row.clone()]);
            self.send(peer.address, Some(&peer.region), &datagram).await;
        }
        self.kill();
    }

    /// Ends all tasks at once.
    pub fn kill(&self) {
        self.tasks.cancel();
        self.peers.borrow_mut().clear();
        let watches = std::mem::take(&mut *self.watches.borrow_mut());
        for watch in watches.values() {
            watch.end();
        }
    }

    /// Returns the number of upstreams that this entry watches for the others.
    pub fn watched(&self) -> usize {
        self.watches.borrow().len()
    }

    /// Tells whether this entry watches an upstream for the others.
    pub fn is_watching(
        &self,
        upstream: &UpstreamName,
    ) -> bool {
        self.watches.borrow().contains_key(upstream)
    }

    /// Tells whether an upstream announces itself to this entry.
    pub fn hears(
        &self,
        upstream: &UpstreamName,
    ) -> bool {
        let now = self.clock.now();
        let members = self.members.borrow();
        members.heard_directly(now, upstream).is_some()
    }

    /// Counts a heartbeat and returns the own row as it is now.
    pub(super) fn own_row(&self) -> EntryRow {
        let mut entries = self.entries.borrow_mut();
        let own = entries.own_mut();
        let since_start = self.clock.now().since(self.started).as_millis() as u64;
        own.heartbeat = since_start.max(own.heartbeat + 1);
        own.published = self.publication.borrow().version();
        own.clone()
    }

    /// Sends a datagram to a process; `region` is its region when that is known.
    pub(super) async fn send(
        &self,
        to: SocketAddr,
        region: Option<&Region>,
        datagram: &Datagram,
    ) {
        let Ok(content) = postcard::to_stdvec(datagram) else {
            return;
        };
        let bytes = content.len() + DATAGRAM_HEADER_BYTES;
        self.count("sent", bytes);
        if let Some(region) = region {
            self.account.count(region, LinkPurpose::Membership, bytes);
        }
        self.link.send(to, content).await;
    }

    /// Counts a datagram.
    pub(super) fn count(
        &self,
        direction: &str,
        bytes: usize,
    ) {
        let metrics = &self.metrics;
        let counter = metrics.membership_bytes.with_label_values(&[direction]);
        counter.inc_by(bytes as u64);
        let counter = metrics.membership_datagrams.with_label_values(&[direction]);
        counter.inc();
    }

    /// Returns a pause within a tenth of `span`, so that processes do not act in step.
    pub(super) fn jittered(
        &self,
        span: Duration,
    ) -> Duration {
        let factor = self.rng.borrow_mut().random_range(0.9..1.1);
        span.mul_f64(factor)
    }

    /// Returns a pause between a half and one and a half of `span`, so that the entries of a fleet
    /// that started at once do not go on sending at once.
    pub(super) fn spread(
        &self,
        span: Duration,
    ) -> Duration {
        let factor = self.rng.borrow_mut().random_range(0.5..1.5);
        span.mul_f64(factor)
    }

    /// Returns a random number below `limit`.
    pub(super) fn random_below(
        &self,
        limit: usize,
    ) -> usize {
        self.rng.borrow_mut().random_range(0..limit)
    }

    fn set_serving(
        &self,
        serving: ServingState,
    ) {
        self.entries.borrow_mut().own_mut().serving = serving;
        self.beat.notify(usize::MAX);
    }

    /// Tells whether no upstream is left that another entry could watch.
    fn is_handed_over(&self) -> bool {
        let alone = self
            .entries
            .borrow()
            .live_peers(self.clock.now())
            .is_empty();
        alone || self.watches.borrow().is_empty()
    }
}
