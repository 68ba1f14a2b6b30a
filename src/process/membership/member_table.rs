//! The upstreams that an entry knows.

use {
    super::{Announcement, ServingState},
    crate::prelude::*,
    event_listener::Event,
    std::collections::BTreeMap,
};

/// How long an upstream counts as live after its last announcement.
const MEMBER_LEASE: Duration = Duration::from_secs(4);

/// One known upstream.
#[derive(Clone, Debug)]
struct Member {
    announcement: Rc<Announcement>,
    heard: Millis,
}

/// The table of upstreams.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: BTreeMap<UpstreamName, Member>,
    changed: Rc<Event>,
}

impl MemberTable {
    /// Takes an announcement over unless a newer one of the same start is known.
    pub fn hear(
        &mut self,
        now: Millis,
        announcement: Announcement,
    ) {
        let known = self.members.get(&announcement.upstream);
        let stale = known.is_some_and(|m| {
            m.announcement.incarnation == announcement.incarnation
                && m.announcement.sequence >= announcement.sequence
        });
        if stale {
            return;
        }
        self.changed.notify(usize::MAX);
        if announcement.serving == ServingState::Leaving {
            self.members.remove(&announcement.upstream);
            return;
        }
        let member = Member {
            heard: now,
            announcement: Rc::new(announcement),
        };
        self.members
            .insert(member.announcement.upstream.clone(), member);
    }

    /// Returns what is notified at each announcement.
    pub fn changed(&self) -> Rc<Event> {
        self.changed.clone()
    }

    /// Returns the upstreams whose lease stands, by name.
    pub fn live(
        &self,
        now: Millis,
    ) -> Vec<Rc<Announcement>> {
        let live = |m: &&Member| now.since(m.heard) < MEMBER_LEASE;
        let live = self.members.values().filter(live);
        live.map(|m| m.announcement.clone()).collect()
    }

    /// Returns an upstream's last announcement.
    pub fn get(
        &self,
        upstream: &UpstreamName,
    ) -> Option<Rc<Announcement>> {
        self.members.get(upstream).map(|m| m.announcement.clone())
    }
}
