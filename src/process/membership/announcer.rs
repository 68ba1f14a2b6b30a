//! Announces an upstream to the entries that watch it, and chooses these.

use {
    super::{
        Announce, Announcement, Datagram, DatagramLink, EntryRow, ReceivedDatagram, ServingState,
        WatcherRole,
        entry_table::candidates_digest,
        rendezvous::rendezvous_weight,
        watcher::{Watcher, announce},
    },
    crate::{
        prelude::*,
        process::{clock::with_timeout, task_group::TaskGroup},
    },
    event_listener::Event,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cell::Cell, cmp::Reverse, collections::BTreeMap},
};

/// The number of entries to which a guard announces: a primary and a standby watcher.
const WATCHER_COUNT: usize = 2;

/// The interval at which the choice of watchers is checked.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum interval between two searches for entries.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// How long an unresponsive entry is excluded from the choice of watchers.
const UNRESPONSIVE_EXCLUSION: Duration = Duration::from_secs(10);

/// The number of times that a leaving upstream sends its last announcement.
const LEAVE_ANNOUNCEMENTS: u32 = 3;

/// The delay after each of those announcements.
const LEAVE_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(50);

/// The dependencies of an announcer.
pub struct AnnouncerContext {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The datagram socket.
    pub link: Rc<dyn DatagramLink>,
    /// The addresses at which entries are reachable; the address of one load balancer is enough.
    pub seeds: Vec<SocketAddr>,
    /// Notified when the announcement changes.
    pub changed: Rc<Event>,
    /// Returns a description of the upstream, with a new sequence number at each call.
    pub next_announcement: Box<dyn Fn() -> Announcement>,
    /// The seed of the random jitter.
    pub seed: u64,
}

/// Announces one upstream to its watchers.
pub struct Announcer {
    pub(super) clock: Rc<dyn Clock>,
    pub(super) changed: Rc<Event>,
    link: Rc<dyn DatagramLink>,
    seeds: Vec<SocketAddr>,
    next_announcement: Box<dyn Fn() -> Announcement>,
    is_leaving: Cell<bool>,
    candidates: RefCell<Vec<EntryRow>>,
    excluded: RefCell<BTreeMap<EntryName, Millis>>,
    watchers: RefCell<BTreeMap<EntryName, Rc<Watcher>>>,
    last_search: Cell<Option<Millis>>,
    sent_bytes: Cell<u64>,
    candidates_changed: Event,
    rng: RefCell<StdRng>,
    tasks: TaskGroup,
}

impl Announcer {
    /// Starts the tasks. They run until [`Announcer::kill`] or [`Announcer::leave`].
    pub fn start(cx: AnnouncerContext) -> Rc<Self> {
        let announcer = Rc::new(Self {
            clock: cx.clock,
            changed: cx.changed,
            link: cx.link,
            seeds: cx.seeds,
            next_announcement: cx.next_announcement,
            is_leaving: Cell::new(false),
            candidates: RefCell::default(),
            excluded: RefCell::default(),
            watchers: RefCell::default(),
            last_search: Cell::new(None),
            sent_bytes: Cell::new(0),
            candidates_changed: Event::new(),
            rng: RefCell::new(StdRng::seed_from_u64(cx.seed)),
            tasks: TaskGroup::default(),
        });
        announcer.tasks.spawn(run_receiving(announcer.clone()));
        announcer.tasks.spawn(run_choosing(announcer.clone()));
        announcer
    }

    /// Notifies the watchers that the upstream leaves, and stops.
    pub async fn leave(&self) {
        self.is_leaving.set(true);
        for _ in 0..LEAVE_ANNOUNCEMENTS {
            let watchers: Vec<Rc<Watcher>> = self.watchers.borrow().values().cloned().collect();
            for watcher in watchers {
                announce(self, &watcher).await;
            }
            self.clock.sleep(LEAVE_ANNOUNCEMENT_INTERVAL).await;
        }
        self.kill();
    }

    /// Cancels all tasks immediately.
    pub fn kill(&self) {
        self.tasks.cancel();
        let watchers = std::mem::take(&mut *self.watchers.borrow_mut());
        for watcher in watchers.values() {
            watcher.end();
        }
    }

    /// Returns the number of bytes sent, without UDP and IP headers.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    /// Returns the names of the watchers, the primary one first.
    pub fn watchers(&self) -> Vec<EntryName> {
        let watchers = self.watchers.borrow();
        let mut watchers: Vec<&Rc<Watcher>> = watchers.values().collect();
        watchers.sort_by_key(|w| w.role() != WatcherRole::Primary);
        watchers.iter().map(|w| w.row.name.clone()).collect()
    }

    /// Returns the next announcement of the upstream.
    pub(super) fn next_announcement(&self) -> Announcement {
        let mut announcement = (self.next_announcement)();
        if self.is_leaving.get() {
            announcement.serving = ServingState::Leaving;
        }
        announcement
    }

    /// Returns the digest of the known candidate watchers.
    pub(super) fn digest(&self) -> u32 {
        candidates_digest(&self.candidates.borrow())
    }

    /// Sends a datagram.
    pub(super) async fn send(
        &self,
        to: SocketAddr,
        datagram: &Datagram,
    ) {
        if let Ok(content) = postcard::to_stdvec(datagram) {
            self.sent_bytes
                .set(self.sent_bytes.get() + content.len() as u64);
            self.link.send(to, content).await;
        }
    }

    /// Returns `span` with up to 10% jitter, so that guards do not act in step.
    pub(super) fn jittered(
        &self,
        span: Duration,
    ) -> Duration {
        let factor = self.rng.borrow_mut().random_range(0.9..1.1);
        span.mul_f64(factor)
    }

    /// Excludes unresponsive watchers from the choice for a while.
    fn exclude_unresponsive(&self) {
        let now = self.clock.now();
        let mut excluded = self.excluded.borrow_mut();
        excluded.retain(|_, until| now < *until);
        let watchers = self.watchers.borrow();
        for watcher in watchers.values().filter(|w| w.is_unresponsive(now)) {
            let until = now + Millis::from(UNRESPONSIVE_EXCLUSION);
            excluded.insert(watcher.row.name.clone(), until);
        }
    }

    /// Returns the entries to announce to, the primary watcher first. Entries of the own data
    /// centre come first, then those of the own region, each ranked by rendezvous hash. Excluded
    /// entries are considered only if all candidates are excluded.
    fn preferred_watchers(&self) -> Vec<EntryRow> {
        let own = self.next_announcement();
        let excluded = self.excluded.borrow();
        let mut candidates = self.candidates.borrow().clone();
        if candidates.iter().any(|c| !excluded.contains_key(&c.name)) {
            candidates.retain(|c| !excluded.contains_key(&c.name));
        }
        candidates.sort_by_key(|c| {
            let weight = rendezvous_weight(own.upstream.as_str(), c.name.as_str());
            (
                c.data_centre != own.data_centre,
                c.region != own.region,
                Reverse(weight),
            )
        });
        candidates.truncate(WATCHER_COUNT);
        candidates
    }

    /// Returns every address at which an entry may be reachable.
    fn addresses(&self) -> Vec<SocketAddr> {
        let known = self.candidates.borrow();
        let known = known.iter().map(|c| c.address);
        let mut addresses: Vec<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    fn has_primary(&self) -> bool {
        let now = self.clock.now();
        let watchers = self.watchers.borrow();
        watchers
            .values()
            .any(|w| w.role() == WatcherRole::Primary && w.has_acked() && !w.is_unresponsive(now))
    }

    fn watcher_at(
        &self,
        address: SocketAddr,
    ) -> Option<Rc<Watcher>> {
        let watchers = self.watchers.borrow();
        watchers
            .values()
            .find(|w| w.row.address == address)
            .cloned()
    }
}

/// Chooses watchers whenever the candidates change and at an interval, and searches for entries
/// while there is no primary watcher. Never returns.
async fn run_choosing(announcer: Rc<Announcer>) {
    loop {
        let candidates_changed = announcer.candidates_changed.listen();
        announcer.exclude_unresponsive();
        choose_watchers(&announcer).await;
        if !announcer.has_primary() {
            search(&announcer).await;
        }
        let pause = announcer.jittered(WATCHER_CHECK_INTERVAL);
        with_timeout(&*announcer.clock, pause, candidates_changed).await;
    }
}

async fn choose_watchers(announcer: &Rc<Announcer>) {
    let chosen = announcer.preferred_watchers();
    release_others(announcer, &chosen).await;
    for (i, row) in chosen.into_iter().enumerate() {
        let role = if i == 0 {
            WatcherRole::Primary
        } else {
            WatcherRole::Standby
        };
        let known = announcer.watchers.borrow().get(&row.name).cloned();
        match known {
            Some(watcher) => watcher.set_role(role),
            None => {
                let name = row.name.clone();
                let watcher = Watcher::start(announcer, row, role);
                announcer.watchers.borrow_mut().insert(name, watcher);
            }
        }
    }
}

/// Stops announcing to entries that are no longer chosen, and notifies them of their release.
async fn release_others(
    announcer: &Announcer,
    chosen: &[EntryRow],
) {
    let is_chosen = |w: &Watcher| {
        let same = |c: &EntryRow| (&c.name, c.address) == (&w.row.name, w.row.address);
        chosen.iter().any(same)
    };
    let watchers: Vec<Rc<Watcher>> = announcer.watchers.borrow().values().cloned().collect();
    for watcher in watchers.into_iter().filter(|w| !is_chosen(w)) {
        watcher.end();
        announcer.watchers.borrow_mut().remove(&watcher.row.name);
        watcher.set_role(WatcherRole::Released);
        announce(announcer, &watcher).await;
    }
}

/// Requests candidate watchers from every known address.
async fn search(announcer: &Announcer) {
    let now = announcer.clock.now();
    let searched = announcer.last_search.get();
    if searched.is_some_and(|at| now.since(at) < SEARCH_INTERVAL) {
        return;
    }
    announcer.last_search.set(Some(now));
    for address in announcer.addresses() {
        announce_as(announcer, address, WatcherRole::Seed).await;
    }
}

/// Sends a full announcement to an address in a role.
async fn announce_as(
    announcer: &Announcer,
    to: SocketAddr,
    role: WatcherRole,
) {
    let datagram = Datagram::Announce(Announce {
        content: announcer.next_announcement(),
        role,
        candidates: announcer.digest(),
    });
    announcer.send(to, &datagram).await;
}

/// Handles datagrams from entries. Never returns.
async fn run_receiving(announcer: Rc<Announcer>) {
    loop {
        let received = announcer.link.receive().await;
        handle_datagram(&announcer, received).await;
    }
}

async fn handle_datagram(
    announcer: &Announcer,
    received: ReceivedDatagram,
) {
    let watcher = announcer.watcher_at(received.from);
    match postcard::from_bytes(&received.content) {
        Ok(Datagram::Ack(ack)) => {
            let now = announcer.clock.now();
            let spacing = Duration::from_millis(u64::from(ack.load_spacing_ms));
            if let Some(watcher) = watcher {
                watcher.record_ack(now, ack.sequence, ack.known, spacing);
            }
        }
        Ok(Datagram::Candidates(candidates)) => {
            let from_primary = watcher.is_some_and(|w| w.role() == WatcherRole::Primary);
            if from_primary || !announcer.has_primary() {
                *announcer.candidates.borrow_mut() = candidates;
                announcer.candidates_changed.notify(usize::MAX);
            }
        }
        Ok(Datagram::Probe) => {
            let role = watcher.map_or(WatcherRole::Released, |w| w.role());
            announce_as(announcer, received.from, role).await;
        }
        _ => {}
    }
}
