//! The membership tasks of one entry and the state that they share.

use {
    super::{
        Datagram, DatagramLink, EntryRow, EntryTable, MemberTable, ServingState,
        contact_task::run_contacts, publication::Publication, publish_task::run_publishing,
        receive_task::run_datagram_receiver, watch_task::Watch,
    },
    crate::{
        prelude::*,
        process::{
            link::{ByteBudget, LinkPurpose, LinkTraffic},
            metrics::Metrics,
            task_group::TaskGroup,
        },
    },
    event_listener::Event,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cell::Cell, collections::BTreeMap},
};

/// The size of the UDP and IPv4 headers of a datagram, in bytes.
pub(super) const UDP_HEADER_BYTES: usize = 28;

/// The rate limit for an entry's answers to delta requests from other regions, in bytes per second.
const LINK_BYTES_PER_SECOND: u64 = 16 << 10;

/// The burst limit for such answers, in bytes.
const LINK_BURST_BYTES: u64 = 32 << 10;

/// How long a stopping entry waits until the guards that it watches have chosen other watchers.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a stopping entry checks whether it still watches an upstream.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long the rows that a leaving entry published stay valid.
pub(super) const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// The dependencies of an entry's membership, shared with the rest of the entry.
pub struct MembershipContext {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The datagram socket.
    pub link: Rc<dyn DatagramLink>,
    /// The entry's metrics.
    pub metrics: Rc<Metrics>,
    /// The known entries.
    pub entries: Rc<RefCell<EntryTable>>,
    /// The known upstreams.
    pub members: Rc<RefCell<MemberTable>>,
    /// The seed of the random jitter.
    pub seed: u64,
}

/// The state that the membership tasks of one entry share.
pub struct Membership {
    pub(super) clock: Rc<dyn Clock>,
    pub(super) link: Rc<dyn DatagramLink>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) link_traffic: LinkTraffic,
    pub(super) entries: Rc<RefCell<EntryTable>>,
    pub(super) members: Rc<RefCell<MemberTable>>,
    pub(super) publication: RefCell<Publication>,
    pub(super) publication_changed: Event,
    pub(super) row_changed: Event,
    pub(super) watches: RefCell<BTreeMap<UpstreamName, Rc<Watch>>>,
    pub(super) peers: RefCell<BTreeMap<EntryName, TaskGroup>>,
    pub(super) link_budget: ByteBudget,
    started_at: Millis,
    pub(super) last_joined_at: Cell<Option<Millis>>,
    rng: RefCell<StdRng>,
    tasks: TaskGroup,
}

impl Membership {
    /// Starts the tasks. They run until [`Membership::kill`] or [`Membership::leave`].
    pub fn start(cx: MembershipContext) -> Rc<Self> {
        let region = cx.entries.borrow().own().region.clone();
        let started_at = cx.clock.now();
        let membership = Rc::new(Self {
            link_traffic: LinkTraffic::new(region, cx.metrics.clone()),
            clock: cx.clock,
            link: cx.link,
            metrics: cx.metrics,
            entries: cx.entries,
            members: cx.members,
            publication: RefCell::default(),
            publication_changed: Event::new(),
            row_changed: Event::new(),
            watches: RefCell::default(),
            peers: RefCell::default(),
            link_budget: ByteBudget::new(LINK_BYTES_PER_SECOND, LINK_BURST_BYTES),
            last_joined_at: Cell::new(None),
            started_at,
            rng: RefCell::new(StdRng::seed_from_u64(cx.seed)),
            tasks: TaskGroup::default(),
        });
        membership
            .tasks
            .spawn(run_datagram_receiver(membership.clone()));
        membership.tasks.spawn(run_contacts(membership.clone()));
        membership.tasks.spawn(run_publishing(membership.clone()));
        membership
    }

    /// Marks the entry as draining and offers the guards that it watches other candidates, so that
    /// they choose other watchers.
    pub fn drain(&self) {
        self.set_serving(ServingState::Draining);
        for watch in self.watches.borrow().values() {
            watch.schedule_candidates_offer();
        }
    }

    /// Drains, waits for a limited time until other entries have taken over the watched upstreams,
    /// notifies the other entries that this one leaves, and stops.
    pub async fn leave(&self) {
        self.drain();
        let deadline = self.clock.now() + Millis::from(HAND_OVER_TIMEOUT);
        while !self.is_handover_complete() && self.clock.now() < deadline {
            self.clock.sleep(HAND_OVER_POLL_INTERVAL).await;
        }
        self.set_serving(ServingState::Leaving);
        let now = self.clock.now();
        let row = self.next_heartbeat();
        let peers = self.entries.borrow().live_peers(now);
        for peer in peers {
            let datagram = Datagram::Heartbeats(vec![row.clone()]);
            self.send(peer.address, Some(&peer.region), &datagram).await;
        }
        self.kill();
    }

    /// Cancels all tasks immediately.
    pub fn kill(&self) {
        self.tasks.cancel();
        self.peers.borrow_mut().clear();
        let watches = std::mem::take(&mut *self.watches.borrow_mut());
        for watch in watches.values() {
            watch.end();
        }
    }

    /// Returns the number of upstreams that this entry watches for the others.
    pub fn watched_count(&self) -> usize {
        self.watches.borrow().len()
    }

    /// Returns whether this entry watches an upstream for the others.
    pub fn is_watching(
        &self,
        upstream: &UpstreamName,
    ) -> bool {
        self.watches.borrow().contains_key(upstream)
    }

    /// Returns whether an upstream announces itself to this entry.
    pub fn receives_announcements_of(
        &self,
        upstream: &UpstreamName,
    ) -> bool {
        let now = self.clock.now();
        let members = self.members.borrow();
        members.direct_announcement(now, upstream).is_some()
    }

    /// Advances the heartbeat number and returns the current own row.
    pub(super) fn next_heartbeat(&self) -> EntryRow {
        let mut entries = self.entries.borrow_mut();
        let own = entries.own_mut();
        let since_start = self.clock.now().since(self.started_at).as_millis() as u64;
        own.heartbeat = since_start.max(own.heartbeat + 1);
        own.published = self.publication.borrow().version();
        own.clone()
    }

    /// Sends a datagram to a process; `region` is the receiver's region if known.
    pub(super) async fn send(
        &self,
        to: SocketAddr,
        region: Option<&Region>,
        datagram: &Datagram,
    ) {
        let Ok(content) = postcard::to_stdvec(datagram) else {
            return;
        };
        let bytes = content.len() + UDP_HEADER_BYTES;
        self.count_datagram("sent", bytes);
        if let Some(region) = region {
            self.link_traffic
                .count(region, LinkPurpose::Membership, bytes);
        }
        self.link.send(to, content).await;
    }

    /// Counts a sent or received datagram in the metrics.
    pub(super) fn count_datagram(
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

    /// Returns `span` with up to 10% jitter, so that processes do not act in step.
    pub(super) fn jittered(
        &self,
        span: Duration,
    ) -> Duration {
        let factor = self.rng.borrow_mut().random_range(0.9..1.1);
        span.mul_f64(factor)
    }

    /// Returns `span` with up to 50% jitter, so that the entries of a fleet that started at the
    /// same time do not keep sending at the same time.
    pub(super) fn widely_jittered(
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
        self.row_changed.notify(usize::MAX);
    }

    /// Returns whether no watched upstream is left, or no other live entry could take one over.
    fn is_handover_complete(&self) -> bool {
        let alone = self
            .entries
            .borrow()
            .live_peers(self.clock.now())
            .is_empty();
        alone || self.watches.borrow().is_empty()
    }
}
