//! The upstreams that an entry knows.

use {
    super::{
        Announcement, Delta, EntryRow, MemberRow, PublicationLag, ServingState, UpstreamHeartbeat,
        live_cache::LiveCache,
        member::Member,
        publisher::{PublicationId, Publisher},
    },
    crate::prelude::*,
    event_listener::Event,
    std::collections::BTreeMap,
};

/// How long an upstream counts as live after its last announcement to this entry.
pub(super) const DIRECT_LEASE: Duration = Duration::from_secs(6);

/// How long a lost or silent upstream is remembered, so that a late datagram of its does not
/// count as new.
const MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// How long a silent publisher is remembered. It is shorter than the memory of upstreams, so that
/// a publisher that comes back later is asked for everything.
const PUBLISHER_RETENTION: Duration = Duration::from_secs(300);

/// The table of upstreams: those that announce themselves to this entry, and those that other
/// entries vouch for.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<UpstreamName, Member>,
    by_address: BTreeMap<SocketAddr, UpstreamName>,
    publishers: BTreeMap<EntryName, Publisher>,
    live_cache: RefCell<LiveCache>,
    changed: Rc<Event>,
}

impl MemberTable {
    /// Takes an announcement over unless a newer one is known.
    pub fn apply_announcement(
        &mut self,
        now: Millis,
        announcement: Announcement,
    ) -> bool {
        let upstream = announcement.upstream.clone();
        let fresh = self.apply_if_newer(now, Rc::new(announcement));
        if let Some(member) = self.members.get_mut(&upstream)
            && fresh
        {
            member.direct_expires_at = now + Millis::from(DIRECT_LEASE);
            self.live_cache.get_mut().clear();
        }
        fresh
    }

    /// Takes a pulse over; `None` when the whole announcement of that start is not known, and
    /// otherwise whether the pulse is new.
    pub fn apply_heartbeat(
        &mut self,
        now: Millis,
        pulse: &UpstreamHeartbeat,
    ) -> Option<bool> {
        let member = self.members.get(&pulse.upstream)?;
        let known = &member.announcement;
        if known.incarnation > pulse.incarnation {
            return Some(false);
        }
        if known.incarnation < pulse.incarnation {
            return None;
        }
        let announcement = known.with_heartbeat(pulse);
        Some(self.apply_announcement(now, announcement))
    }

    /// Marks an upstream as gone, as of its last known announcement.
    pub fn mark_lost(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
    ) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.is_departed = true;
            member.changed_at = now;
            self.live_cache.get_mut().clear();
        }
    }

    /// Ends the lease that an upstream's announcements to this entry have renewed.
    pub fn end_direct_lease(
        &mut self,
        upstream: &UpstreamName,
    ) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.direct_expires_at = Millis::default();
            self.live_cache.get_mut().clear();
        }
    }

    /// Returns the last announcement of an upstream that announces itself to this entry, and when
    /// it was heard.
    pub fn direct_announcement(
        &self,
        now: Millis,
        upstream: &UpstreamName,
    ) -> Option<(Rc<Announcement>, Millis)> {
        let member = self.members.get(upstream)?;
        let heard = !member.is_departed && now < member.direct_expires_at;
        let at = Millis(
            member
                .direct_expires_at
                .0
                .saturating_sub(Millis::from(DIRECT_LEASE).0),
        );
        heard.then(|| (member.announcement.clone(), at))
    }

    /// Renews what a publisher vouches for; tells when the copy of its publication is behind.
    pub fn renew_publisher(
        &mut self,
        now: Millis,
        row: &EntryRow,
        until: Millis,
    ) -> Option<PublicationLag> {
        let start = (row.incarnation, row.published.generation);
        let known = self.publisher_mut(&row.name, start)?;
        let lapsed = known.expires_at <= now;
        known.expires_at = known.expires_at.max(until);
        known.newest_change = known.newest_change.max(row.published.change);
        let behind = known.lag();
        if lapsed {
            self.live_cache.get_mut().clear();
        }
        behind
    }

    /// Lets what a publisher vouches for lapse at a time, when it ends.
    pub fn expire_publisher(
        &mut self,
        publisher: &EntryName,
        until: Millis,
    ) {
        if let Some(known) = self.publishers.get_mut(publisher) {
            known.expires_at = known.expires_at.min(until);
            self.live_cache.get_mut().clear();
        }
    }

    /// Takes rows of a publication over when they follow what is held and say more; tells when the
    /// copy is still behind.
    pub fn apply_delta(
        &mut self,
        now: Millis,
        delta: Delta,
    ) -> Option<PublicationLag> {
        let start = (delta.incarnation, delta.generation);
        let known = self.publisher_mut(&delta.publisher, start)?;
        known.newest_change = known.newest_change.max(delta.upto);
        let is_late = delta.upto <= known.applied_change;
        if delta.base > known.applied_change || is_late {
            return known.lag();
        }
        known.applied_change = known.applied_change.max(delta.upto);
        let behind = known.lag();
        for row in delta.rows {
            self.apply_row(now, &delta.publisher, start, row);
        }
        self.live_cache.get_mut().clear();
        behind
    }

    /// Tells whether a publisher may be asked now, and notes that it is.
    pub fn try_begin_request(
        &mut self,
        now: Millis,
        publisher: &EntryName,
        spacing: Duration,
    ) -> bool {
        let Some(known) = self.publishers.get_mut(publisher) else {
            return false;
        };
        let soon = known.last_request.is_some_and(|at| now.since(at) < spacing);
        if !soon {
            known.last_request = Some(now);
        }
        !soon
    }

    /// Returns what is notified at each new announcement.
    pub fn changed(&self) -> Rc<Event> {
        self.changed.clone()
    }

    /// Returns the upstreams whose lease stands, by name.
    pub fn live(
        &self,
        now: Millis,
    ) -> Vec<Rc<Announcement>> {
        let mut cache = self.live_cache.borrow_mut();
        if let Some(live) = cache.get(now) {
            return live;
        }
        let live = self.members.values().filter(|m| self.is_live(now, m));
        let live: Vec<Rc<Announcement>> = live.map(|m| m.announcement.clone()).collect();
        cache.set(now, live.clone());
        live
    }

    /// Returns an upstream's last announcement, unless it has left or is lost.
    pub fn get(
        &self,
        upstream: &UpstreamName,
    ) -> Option<Rc<Announcement>> {
        let member = self.members.get(upstream).filter(|m| !m.is_departed);
        member.map(|m| m.announcement.clone())
    }

    /// Returns an upstream's last announcement, also when it has left or is lost.
    pub(super) fn latest(
        &self,
        upstream: &UpstreamName,
    ) -> Option<Rc<Announcement>> {
        self.members.get(upstream).map(|m| m.announcement.clone())
    }

    /// Forgets what has been gone or silent for long.
    pub fn remove_expired(
        &mut self,
        now: Millis,
    ) {
        self.publishers
            .retain(|_, p| now.since(p.expires_at) < PUBLISHER_RETENTION);
        let publishers = &self.publishers;
        self.members.retain(|_, m| {
            m.is_published(now, publishers)
                || now < m.direct_expires_at
                || now.since(m.changed_at) < MEMBER_RETENTION
        });
        let members = &self.members;
        self.by_address.retain(|_, u| members.contains_key(u));
    }

    fn is_live(
        &self,
        now: Millis,
        member: &Member,
    ) -> bool {
        !member.is_departed
            && (now < member.direct_expires_at || member.is_published(now, &self.publishers))
    }

    /// Returns what is known of a publisher's start; `None` when a later start is known.
    fn publisher_mut(
        &mut self,
        publisher: &EntryName,
        start: PublicationId,
    ) -> Option<&mut Publisher> {
        let known = self
            .publishers
            .entry(publisher.clone())
            .or_insert_with(|| Publisher::new(start, Millis::default()));
        if known.publication < start {
            *known = Publisher::new(start, known.expires_at);
        }
        (known.publication == start).then_some(known)
    }

    fn apply_row(
        &mut self,
        now: Millis,
        publisher: &EntryName,
        start: PublicationId,
        row: MemberRow,
    ) {
        match row {
            MemberRow::Whole(announcement) => {
                let upstream = announcement.upstream.clone();
                self.apply_if_newer(now, Rc::new(announcement));
                self.add_publisher(publisher, start, &upstream);
            }
            MemberRow::Pulse(pulse) => {
                let known = self.members.get(&pulse.upstream);
                let known = known.filter(|m| m.announcement.incarnation == pulse.incarnation);
                if let Some(announcement) = known.map(|m| m.announcement.with_heartbeat(&pulse)) {
                    self.apply_if_newer(now, Rc::new(announcement));
                }
                self.add_publisher(publisher, start, &pulse.upstream);
            }
            MemberRow::Gone {
                upstream,
                incarnation,
                sequence,
            } => self.apply_departure(now, publisher, &upstream, (incarnation, sequence)),
            MemberRow::Withdrawn { upstream } => {
                if let Some(member) = self.members.get_mut(&upstream) {
                    member.publishers.remove(publisher);
                }
            }
        }
    }

    fn apply_departure(
        &mut self,
        now: Millis,
        publisher: &EntryName,
        upstream: &UpstreamName,
        order: (u64, u64),
    ) {
        let Some(member) = self.members.get_mut(upstream) else {
            return;
        };
        member.publishers.remove(publisher);
        if order >= member.announcement.order() {
            member.is_departed = true;
            member.changed_at = now;
        }
    }

    fn add_publisher(
        &mut self,
        publisher: &EntryName,
        start: PublicationId,
        upstream: &UpstreamName,
    ) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.publishers.insert(publisher.clone(), start);
        }
    }

    /// Takes an announcement over unless a newer one is known, and tells whether it was new.
    fn apply_if_newer(
        &mut self,
        now: Millis,
        announcement: Rc<Announcement>,
    ) -> bool {
        let upstream = announcement.upstream.clone();
        let known = self.members.get_mut(&upstream);
        if known
            .as_ref()
            .is_some_and(|m| m.announcement.order() >= announcement.order())
        {
            return false;
        }
        let gone =
            announcement.serving == ServingState::Leaving || self.is_displaced(&announcement);
        let member = self.members.entry(upstream).or_insert_with(|| Member {
            announcement: announcement.clone(),
            is_departed: gone,
            direct_expires_at: Millis::default(),
            publishers: BTreeMap::new(),
            changed_at: now,
        });
        member.announcement = announcement;
        member.is_departed = gone;
        member.changed_at = now;
        self.live_cache.get_mut().clear();
        self.changed.notify(usize::MAX);
        true
    }

    /// Tells whether another upstream has the announced address by right of a later start; an
    /// earlier holder of the address is gone.
    fn is_displaced(
        &mut self,
        announcement: &Announcement,
    ) -> bool {
        let address = announcement.guard_address;
        if let Some(holder) = self.by_address.get(&address)
            && *holder != announcement.upstream
            && let Some(member) = self.members.get_mut(holder)
            && member.announcement.guard_address == address
        {
            if member.announcement.incarnation > announcement.incarnation {
                return true;
            }
            member.is_departed |= member.announcement.incarnation < announcement.incarnation;
        }
        self.by_address
            .insert(address, announcement.upstream.clone());
        false
    }
}
