//! What one entry publishes of the upstreams that it watches.

use {
    super::{Announcement, Delta, MemberRow, PublicationVersion, datagram::split_rows},
    crate::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

/// The most rows of upstreams that have gone; above it the publication is begun anew.
const MAX_TOMBSTONES: usize = 4096;

/// Whether a published upstream is there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Presence {
    Alive,
    Departed,
    Withdrawn,
}

/// One published upstream.
#[derive(Clone, Debug)]
struct PublishedUpstream {
    announcement: Rc<Announcement>,
    presence: Presence,
    last_change: u64,
    last_full_change: u64,
}

/// How soon a change has to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Urgency {
    /// Nothing that others need has changed.
    None,
    /// Only the load has changed.
    Load,
    /// The upstream came, went, or changed whether or what it can take.
    Status,
}

/// Rows with numbered changes: a reader who holds all changes up to a number needs only the rows
/// that changed after it.
#[derive(Debug, Default)]
pub(super) struct Publication {
    version: PublicationVersion,
    rows: BTreeMap<UpstreamName, PublishedUpstream>,
    by_change: BTreeMap<u64, UpstreamName>,
    pending_loads: BTreeSet<UpstreamName>,
}

impl Publication {
    /// Returns the version.
    pub(super) fn version(&self) -> PublicationVersion {
        self.version
    }

    /// Tells whether an upstream is published as live.
    pub(super) fn is_published(
        &self,
        upstream: &UpstreamName,
    ) -> bool {
        let row = self.rows.get(upstream);
        row.is_some_and(|r| r.presence == Presence::Alive)
    }

    /// Publishes an announcement.
    pub(super) fn publish(
        &mut self,
        announcement: &Rc<Announcement>,
    ) -> Urgency {
        let upstream = &announcement.upstream;
        let Some(row) = self
            .rows
            .get_mut(upstream)
            .filter(|r| r.presence == Presence::Alive)
        else {
            self.record_change(announcement, Presence::Alive, true);
            return Urgency::Status;
        };
        let known = std::mem::replace(&mut row.announcement, announcement.clone());
        if known.incarnation != announcement.incarnation
            || known.differs_beyond_heartbeat(announcement)
        {
            self.record_change(announcement, Presence::Alive, true);
            return Urgency::Status;
        }
        if known.differs_in_status(announcement) {
            self.record_change(announcement, Presence::Alive, false);
            return Urgency::Status;
        }
        if known.slots_in_use != announcement.slots_in_use {
            self.pending_loads.insert(upstream.clone());
            return Urgency::Load;
        }
        Urgency::None
    }

    /// Publishes that an upstream has gone, as of an announcement.
    pub(super) fn publish_departure(
        &mut self,
        announcement: &Rc<Announcement>,
    ) {
        self.record_change(announcement, Presence::Departed, false);
    }

    /// Publishes that another entry publishes an upstream; `false` when it is not published here.
    pub(super) fn withdraw(
        &mut self,
        upstream: &UpstreamName,
    ) -> bool {
        if !self.is_published(upstream) {
            return false;
        }
        let announcement = self.rows[upstream].announcement.clone();
        self.record_change(&announcement, Presence::Withdrawn, false);
        true
    }

    /// Numbers the waiting changes of load, so that they are sent.
    pub(super) fn publish_pending_loads(&mut self) -> bool {
        let loads = std::mem::take(&mut self.pending_loads);
        for upstream in &loads {
            if self.is_published(upstream) {
                let announcement = self.rows[upstream].announcement.clone();
                self.record_change(&announcement, Presence::Alive, false);
            }
        }
        !loads.is_empty()
    }

    /// Returns the rows that changed after `base`, split into deltas that fit a datagram each.
    pub(super) fn deltas_after(
        &self,
        base: u64,
        publisher: &EntryName,
        incarnation: u64,
    ) -> Vec<Delta> {
        let changed = self.by_change.range(base + 1..);
        let rows = changed.map(|(_, u)| self.rows[u].row_since(base)).collect();
        let ends: Vec<u64> = self.by_change.range(base + 1..).map(|(c, _)| *c).collect();
        let mut deltas = Vec::new();
        let mut base = base;
        let mut taken = 0;
        for rows in split_rows::<MemberRow>(rows) {
            taken += rows.len();
            let upto = ends[taken - 1];
            deltas.push(Delta {
                publisher: publisher.clone(),
                incarnation,
                generation: self.version.generation,
                base,
                upto,
                rows,
                relay: false,
            });
            base = upto;
        }
        deltas
    }

    /// Begins a new generation without the rows of upstreams that have gone, when there are many.
    pub(super) fn compact(&mut self) {
        let alive = self.rows.values().filter(|r| r.presence == Presence::Alive);
        if self.rows.len() - alive.count() <= MAX_TOMBSTONES {
            return;
        }
        let rows = std::mem::take(&mut self.rows);
        self.by_change.clear();
        self.version = PublicationVersion {
            generation: self.version.generation + 1,
            change: 0,
        };
        let alive = rows.into_values().filter(|r| r.presence == Presence::Alive);
        for row in alive {
            self.record_change(&row.announcement, Presence::Alive, true);
        }
    }

    fn record_change(
        &mut self,
        announcement: &Rc<Announcement>,
        presence: Presence,
        whole: bool,
    ) {
        self.version.change += 1;
        let change = self.version.change;
        let upstream = announcement.upstream.clone();
        let known = self.rows.get(&upstream);
        if let Some(known) = known {
            self.by_change.remove(&known.last_change);
        }
        let whole = match known {
            Some(known) if !whole => known.last_full_change,
            _ => change,
        };
        let row = PublishedUpstream {
            announcement: announcement.clone(),
            presence,
            last_change: change,
            last_full_change: whole,
        };
        self.by_change.insert(change, upstream.clone());
        self.pending_loads.remove(&upstream);
        self.rows.insert(upstream, row);
    }
}

impl PublishedUpstream {
    /// Returns the row for a reader who holds all changes up to `base`.
    fn row_since(
        &self,
        base: u64,
    ) -> MemberRow {
        let announcement = &self.announcement;
        let upstream = announcement.upstream.clone();
        match self.presence {
            Presence::Alive if self.last_full_change > base => {
                MemberRow::Whole((**announcement).clone())
            }
            Presence::Alive => MemberRow::Pulse(announcement.heartbeat()),
            Presence::Departed => MemberRow::Gone {
                upstream,
                incarnation: announcement.incarnation,
                sequence: announcement.sequence,
            },
            Presence::Withdrawn => MemberRow::Withdrawn { upstream },
        }
    }
}
