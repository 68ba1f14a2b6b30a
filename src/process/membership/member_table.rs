//! The upstreams that an entry knows.

use {
    super::{
        Announcement, Behind, Delta, EntryRow, MemberRow, Pulse, ServingState,
        live_cache::LiveCache,
        member::Member,
        publisher::{Publisher, Start},
    },
    crate::prelude::*,
    event_listener::Event,
    std::collections::BTreeMap,
};

/// How long an upstream counts as live after its last announcement to this entry.
pub(super) const DIRECT_LEASE: Duration = Duration::from_secs(6);

/// How long a lost or silent upstream is remembered, so that a late datagram of its does not
/// count as new.
const MEMBER_MEMORY: Duration = Duration::from_secs(600);

/// How long a silent publisher is remembered. It is shorter than the memory of upstreams, so that
/// a publisher that comes back later is asked for everything.
const PUBLISHER_MEMORY: Duration = Duration::from_secs(300);

/// The table of upstreams: those that announce themselves to this entry, and those that other
/// entries vouch for.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<UpstreamName, Member>,
    by_address: BTreeMap<SocketAddr, UpstreamName>,
    publishers: BTreeMap<EntryName, Publisher>,
    live: RefCell<LiveCache>,
    changed: Rc<Event>,
}

impl MemberTable {
    /// Takes an announcement over unless a newer one is known.
    pub fn hear(
        &mut self,
        now: Millis,
        announcement: Announcement,
    ) -> bool {
        let upstream = announcement.upstream.clone();
        let fresh = self.take_over(now, Rc::new(announcement));
        if let Some(member) = self.members.get_mut(&upstream)
            && fresh
        {
            member.direct_until = now + Millis::from(DIRECT_LEASE);
            self.live.get_mut().clear();
        }
        fresh
    }

    /// Takes a pulse over; `None` when the whole announcement of that start is not known, and
    /// otherwise whether the pulse is new.
    pub fn hear_pulse(
        &mut self,
        now: Millis,
        pulse: &Pulse,
    ) -> Option<bool> {
        let member = self.members.get(&pulse.upstream)?;
        let known = &member.announcement;
        if known.incarnation > pulse.incarnation {
            return Some(false);
        }
        if known.incarnation < pulse.incarnation {
            return None;
        }
        let announcement = known.with_pulse(pulse);
        Some(self.hear(now, announcement))
    }

    /// Marks an upstream as gone, as of its last known announcement.
    pub fn lose(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
    ) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.gone = true;
            member.touched = now;
            self.live.get_mut().clear();
        }
    }

    /// Ends the lease that an upstream's announcements to this entry have renewed.
    pub fn release(
        &mut self,
        upstream: &UpstreamName,
    ) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.direct_until = Millis::default();
            self.live.get_mut().clear();
        }
    }

    /// Returns the last announcement of an upstream that announces itself to this entry, and when
    /// it was heard.
    pub fn heard_directly(
        &self,
        now: Millis,
        upstream: &UpstreamName,
    ) -> Option<(Rc<Announcement>, Millis)> {
        let member = self.members.get(upstream)?;
        let heard = !member.gone && now < member.direct_until;
        let at = Millis(
            member
                .direct_until
                .0
                .saturating_sub(Millis::from(DIRECT_LEASE).0),
        );
        heard.then(|| (member.announcement.clone(), at))
    }

    /// Renews what a publisher vouches for; tells when the copy of its publication is behind.
    pub fn vouch(
        &mut self,
        now: Millis,
        row: &EntryRow,
        until: Millis,
    ) -> Option<Behind> {
        let start = (row.incarnation, row.published.generation);
        let known = self.publisher(&row.name, start)?;
        let lapsed = known.until <= now;
        known.until = known.until.max(until);
        known.newest = known.newest.max(row.published.change);
        let behind = known.behind();
        if lapsed {
            self.live.get_mut().clear();
        }
        behind
    }

    /// Lets what a publisher vouches for lapse at a time, when it ends.
    pub fn end_vouching(
        &mut self,
        publisher: &EntryName,
        until: Millis,
    ) {
        if let Some(known) = self.publishers.get_mut(publisher) {
            known.until = known.until.min(until);
            self.live.get_mut().clear();
        }
    }

    /// Takes rows of a publication over when they follow what is held and say more; tells when the
    /// copy is still behind.
    pub fn apply_delta(
        &mut self,
        now: Millis,
        delta: Delta,
    ) -> Option<Behind> {
        let start = (delta.incarnation, delta.generation);
        let known = self.publisher(&delta.publisher, start)?;
        known.newest = known.newest.max(delta.upto);
        let is_late = delta.upto <= known.have;
        if delta.base > known.have || is_late {
            return known.behind();
        }
        known.have = known.have.max(delta.upto);
        let behind = known.behind();
        for row in delta.rows {
            self.apply_row(now, &delta.publisher, start, row);
        }
        self.live.get_mut().clear();
        behind
    }

    /// Tells whether a publisher may be asked now, and notes that it is.
    pub fn may_ask(
        &mut self,
        now: Millis,
        publisher: &EntryName,
        spacing: Duration,
    ) -> bool {
        let Some(known) = self.publishers.get_mut(publisher) else {
            return false;
        };
        let soon = known.asked.is_some_and(|at| now.since(at) < spacing);
        if !soon {
            known.asked = Some(now);
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
        let mut cache = self.live.borrow_mut();
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
        let member = self.members.get(upstream).filter(|m| !m.gone);
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
    pub fn forget_silent(
        &mut self,
        now: Millis,
    ) {
        self.publishers
            .retain(|_, p| now.since(p.until) < PUBLISHER_MEMORY);
        let publishers = &self.publishers;
        self.members.retain(|_, m| {
            m.is_vouched_for(now, publishers)
                || now < m.direct_until
                || now.since(m.touched) < MEMBER_MEMORY
        });
        let members = &self.members;
        self.by_address.retain(|_, u| members.contains_key(u));
    }

    fn is_live(
        &self,
        now: Millis,
        member: &Member,
    ) -> bool {
        !member.gone && (now < member.direct_until || member.is_vouched_for(now, &self.publishers))
    }

    /// Returns what is known of a publisher's start; `None` when a later start is known.
    fn publisher(
        &mut self,
        publisher: &EntryName,
        start: Start,
    ) -> Option<&mut Publisher> {
        let known = self
            .publishers
            .entry(publisher.clone())
            .or_insert_with(|| Publisher::begin(start, Millis::default()));
        if known.start < start {
            *known = Publisher::begin(start, known.until);
        }
        (known.start == start).then_some(known)
    }

    fn apply_row(
        &mut self,
        now: Millis,
        publisher: &EntryName,
        start: Start,
        row: MemberRow,
    ) {
        match row {
            MemberRow::Whole(announcement) => {
                let upstream = announcement.upstream.clone();
                self.take_over(now, Rc::new(announcement));
                self.add_voucher(publisher, start, &upstream);
            }
            MemberRow::Pulse(pulse) => {
                let known = self.members.get(&pulse.upstream);
                let known = known.filter(|m| m.announcement.incarnation == pulse.incarnation);
                if let Some(announcement) = known.map(|m| m.announcement.with_pulse(&pulse)) {
                    self.take_over(now, Rc::new(announcement));
                }
                self.add_voucher(publisher, start, &pulse.upstream);
            }
            MemberRow::Gone {
                upstream,
                incarnation,
                sequence,
            } => self.apply_gone(now, publisher, &upstream, (incarnation, sequence)),
            MemberRow::Withdrawn { upstream } => {
                if let Some(member) = self.members.get_mut(&upstream) {
                    member.vouchers.remove(publisher);
                }
            }
        }
    }

    fn apply_gone(
        &mut self,
        now: Millis,
        publisher: &EntryName,
        upstream: &UpstreamName,
        order: (u64, u64),
    ) {
        let Some(member) = self.members.get_mut(upstream) else {
            return;
        };
        member.vouchers.remove(publisher);
        if order >= member.announcement.order() {
            member.gone = true;
            member.touched = now;
        }
    }

    fn add_voucher(
        &mut self,
        publisher: &EntryName,
        start: Start,
        upstream: &UpstreamName,
    ) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.vouchers.insert(publisher.clone(), start);
        }
    }

    /// Takes an announcement over unless a newer one is known, and tells whether it was new.
    fn take_over(
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
            gone,
            direct_until: Millis::default(),
            vouchers: BTreeMap::new(),
            touched: now,
        });
        member.announcement = announcement;
        member.gone = gone;
        member.touched = now;
        self.live.get_mut().clear();
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
            member.gone |= member.announcement.incarnation < announcement.incarnation;
        }
        self.by_address
            .insert(address, announcement.upstream.clone());
        false
    }
}
