//! The table of known upstreams.

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

/// How long an upstream stays live after its last announcement to this entry.
pub(super) const DIRECT_LEASE: Duration = Duration::from_secs(6);

/// How long the record of a lost or unresponsive upstream is kept, so that a late datagram from it
/// is not treated as new.
const MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// How long the record of an unresponsive publisher is kept. It is shorter than the retention of
/// upstreams, so that a publisher that returns later is asked for its full publication.
const PUBLISHER_RETENTION: Duration = Duration::from_secs(300);

/// The table of upstreams: those that announce themselves to this entry, and those that other
/// entries publish.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<UpstreamName, Member>,
    by_address: BTreeMap<SocketAddr, UpstreamName>,
    publishers: BTreeMap<EntryName, Publisher>,
    live_cache: RefCell<LiveCache>,
    changed: Rc<Event>,
}

impl MemberTable {
    /// Applies an announcement unless the same or a newer one is known, and renews the direct lease
    /// if it was applied. Returns whether it was.
    pub fn apply_announcement(
        &mut self,
        now: Millis,
        announcement: Announcement,
    ) -> bool {
        let upstream = announcement.upstream.clone();
        let applied = self.apply_if_newer(now, Rc::new(announcement));
        if let Some(member) = self.members.get_mut(&upstream)
            && applied
        {
            member.direct_expires_at = now + Millis::from(DIRECT_LEASE);
            self.live_cache.get_mut().clear();
        }
        applied
    }

    /// Applies a heartbeat and returns whether it was new, or `None` if the full announcement of
    /// neither that incarnation nor a later one is known.
    pub fn apply_heartbeat(
        &mut self,
        now: Millis,
        heartbeat: &UpstreamHeartbeat,
    ) -> Option<bool> {
        let member = self.members.get(&heartbeat.upstream)?;
        let known = &member.announcement;
        if known.incarnation > heartbeat.incarnation {
            return Some(false);
        }
        if known.incarnation < heartbeat.incarnation {
            return None;
        }
        let announcement = known.with_heartbeat(heartbeat);
        Some(self.apply_announcement(now, announcement))
    }

    /// Marks an upstream as lost. A later announcement revives it.
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

    /// Ends the lease from an upstream's announcements to this entry.
    pub fn end_direct_lease(
        &mut self,
        upstream: &UpstreamName,
    ) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.direct_expires_at = Millis::default();
            self.live_cache.get_mut().clear();
        }
    }

    /// Returns the last announcement that a live upstream sent to this entry, and when it was
    /// received.
    pub fn direct_announcement(
        &self,
        now: Millis,
        upstream: &UpstreamName,
    ) -> Option<(Rc<Announcement>, Millis)> {
        let member = self.members.get(upstream)?;
        let is_direct = !member.is_departed && now < member.direct_expires_at;
        let received_at = Millis(
            member
                .direct_expires_at
                .0
                .saturating_sub(Millis::from(DIRECT_LEASE).0),
        );
        is_direct.then(|| (member.announcement.clone(), received_at))
    }

    /// Extends the lease of the upstreams that an entry publishes to `until`. Returns the position
    /// of the copy if it lags behind the publication.
    pub fn renew_publisher(
        &mut self,
        now: Millis,
        row: &EntryRow,
        until: Millis,
    ) -> Option<PublicationLag> {
        let publication = (row.incarnation, row.published.generation);
        let known = self.publisher_mut(&row.name, publication)?;
        let was_expired = known.expires_at <= now;
        known.expires_at = known.expires_at.max(until);
        known.newest_change = known.newest_change.max(row.published.change);
        let lag = known.lag();
        if was_expired {
            self.live_cache.get_mut().clear();
        }
        lag
    }

    /// Lets the lease of a leaving publisher's upstreams expire at `until` at the latest.
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

    /// Applies the rows of a delta if they follow the applied changes without a gap and go beyond
    /// them. Returns the position of the copy if it still lags behind the publication.
    pub fn apply_delta(
        &mut self,
        now: Millis,
        delta: Delta,
    ) -> Option<PublicationLag> {
        let publication = (delta.incarnation, delta.generation);
        let known = self.publisher_mut(&delta.publisher, publication)?;
        known.newest_change = known.newest_change.max(delta.upto);
        let is_late = delta.upto <= known.applied_change;
        if delta.base > known.applied_change || is_late {
            return known.lag();
        }
        known.applied_change = known.applied_change.max(delta.upto);
        let lag = known.lag();
        for row in delta.rows {
            self.apply_row(now, &delta.publisher, publication, row);
        }
        self.live_cache.get_mut().clear();
        lag
    }

    /// Returns whether the last request to a publisher was at least `spacing` ago, and if so
    /// records a request now. Returns `false` for an unknown publisher.
    pub fn try_begin_request(
        &mut self,
        now: Millis,
        publisher: &EntryName,
        spacing: Duration,
    ) -> bool {
        let Some(known) = self.publishers.get_mut(publisher) else {
            return false;
        };
        let too_soon = known.last_request.is_some_and(|at| now.since(at) < spacing);
        if !too_soon {
            known.last_request = Some(now);
        }
        !too_soon
    }

    /// Returns the event that is notified at each new announcement.
    pub fn changed(&self) -> Rc<Event> {
        self.changed.clone()
    }

    /// Returns the live upstreams, ordered by name.
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

    /// Returns an upstream's last announcement, or `None` if it has left or is lost.
    pub fn get(
        &self,
        upstream: &UpstreamName,
    ) -> Option<Rc<Announcement>> {
        let member = self.members.get(upstream).filter(|m| !m.is_departed);
        member.map(|m| m.announcement.clone())
    }

    /// Returns an upstream's last announcement, even if it has left or is lost.
    pub(super) fn latest(
        &self,
        upstream: &UpstreamName,
    ) -> Option<Rc<Announcement>> {
        self.members.get(upstream).map(|m| m.announcement.clone())
    }

    /// Removes publishers and upstreams whose retention time has passed.
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

    /// Returns the record of a publication, which replaces the one of an earlier publication of the
    /// entry; `None` if a later one is known.
    fn publisher_mut(
        &mut self,
        publisher: &EntryName,
        publication: PublicationId,
    ) -> Option<&mut Publisher> {
        let known = self
            .publishers
            .entry(publisher.clone())
            .or_insert_with(|| Publisher::new(publication, Millis::default()));
        if known.publication < publication {
            *known = Publisher::new(publication, known.expires_at);
        }
        (known.publication == publication).then_some(known)
    }

    fn apply_row(
        &mut self,
        now: Millis,
        publisher: &EntryName,
        publication: PublicationId,
        row: MemberRow,
    ) {
        match row {
            MemberRow::Whole(announcement) => {
                let upstream = announcement.upstream.clone();
                self.apply_if_newer(now, Rc::new(announcement));
                self.add_publisher(publisher, publication, &upstream);
            }
            MemberRow::Pulse(heartbeat) => {
                let known = self.members.get(&heartbeat.upstream);
                let known = known.filter(|m| m.announcement.incarnation == heartbeat.incarnation);
                if let Some(announcement) = known.map(|m| m.announcement.with_heartbeat(&heartbeat))
                {
                    self.apply_if_newer(now, Rc::new(announcement));
                }
                self.add_publisher(publisher, publication, &heartbeat.upstream);
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
        publication: PublicationId,
        upstream: &UpstreamName,
    ) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.publishers.insert(publisher.clone(), publication);
        }
    }

    /// Applies an announcement unless the same or a newer one is known; returns whether it was
    /// applied.
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
        let is_departed =
            announcement.serving == ServingState::Leaving || self.is_displaced(&announcement);
        let member = self.members.entry(upstream).or_insert_with(|| Member {
            announcement: announcement.clone(),
            is_departed,
            direct_expires_at: Millis::default(),
            publishers: BTreeMap::new(),
            changed_at: now,
        });
        member.announcement = announcement;
        member.is_departed = is_departed;
        member.changed_at = now;
        self.live_cache.get_mut().clear();
        self.changed.notify(usize::MAX);
        true
    }

    /// Records the announced address and returns `false`, or returns `true` if another upstream
    /// with a later incarnation uses it. Another upstream with an earlier incarnation at the
    /// address is marked as departed.
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
