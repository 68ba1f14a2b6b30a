//! The publication of one entry: the upstreams that it watches, for the other entries.

use {
    super::{Announcement, Delta, MemberRow, PublicationVersion, datagram::split_rows},
    crate::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

/// The maximum number of rows of departed and withdrawn upstreams. With more, the publication is
/// rebuilt without them.
const MAX_TOMBSTONES: usize = 4096;

/// The state of a published upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Presence {
    Alive,
    Departed,
    Withdrawn,
}

/// The row of one upstream.
#[derive(Clone, Debug)]
struct PublishedUpstream {
    announcement: Rc<Announcement>,
    presence: Presence,
    /// The number of the last change of the row.
    last_change: u64,
    /// The number of the last change that a heartbeat cannot express.
    last_full_change: u64,
}

/// How urgently a change has to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Urgency {
    /// Nothing has changed that other entries need.
    None,
    /// Only the load has changed.
    Load,
    /// The upstream appeared, or its status or resources have changed.
    Status,
}

/// Rows with numbered changes: a reader that has applied all changes up to a number needs only the
/// rows that changed after it.
#[derive(Debug, Default)]
pub(super) struct Publication {
    version: PublicationVersion,
    rows: BTreeMap<UpstreamName, PublishedUpstream>,
    /// The upstreams by the number of their row's last change.
    by_change: BTreeMap<u64, UpstreamName>,
    /// Upstreams with a load change that has no number yet.
    pending_loads: BTreeSet<UpstreamName>,
}

impl Publication {
    /// Returns the version of the publication.
    pub(super) fn version(&self) -> PublicationVersion {
        self.version
    }

    /// Returns whether an upstream is published as live.
    pub(super) fn is_published(
        &self,
        upstream: &UpstreamName,
    ) -> bool {
        let row = self.rows.get(upstream);
        row.is_some_and(|r| r.presence == Presence::Alive)
    }

    /// Publishes an announcement and returns how urgently its change has to be sent. A change of
    /// load alone stays pending until [`Self::publish_pending_loads`].
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

    /// Publishes that an upstream has left or failed after an announcement.
    pub(super) fn publish_departure(
        &mut self,
        announcement: &Rc<Announcement>,
    ) {
        self.record_change(announcement, Presence::Departed, false);
    }

    /// Withdraws an upstream, which another entry publishes now. Returns `false` if it is not
    /// published here.
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

    /// Records the pending load changes as numbered changes, so that they are sent. Returns whether
    /// there were any.
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

    /// Returns the rows that changed after `base`, split into deltas that each fit one datagram.
    pub(super) fn deltas_after(
        &self,
        base: u64,
        publisher: &EntryName,
        incarnation: u64,
    ) -> Vec<Delta> {
        let changed = self.by_change.range(base + 1..);
        let rows = changed.map(|(_, u)| self.rows[u].row_since(base)).collect();
        let change_numbers: Vec<u64> = self.by_change.range(base + 1..).map(|(c, _)| *c).collect();
        let mut deltas = Vec::new();
        let mut base = base;
        let mut row_count = 0;
        for rows in split_rows::<MemberRow>(rows) {
            row_count += rows.len();
            let upto = change_numbers[row_count - 1];
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

    /// Starts a new generation that has only the live upstreams, if there are too many other rows.
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
        is_full: bool,
    ) {
        self.version.change += 1;
        let change = self.version.change;
        let upstream = announcement.upstream.clone();
        let known = self.rows.get(&upstream);
        if let Some(known) = known {
            self.by_change.remove(&known.last_change);
        }
        let last_full_change = match known {
            Some(known) if !is_full => known.last_full_change,
            _ => change,
        };
        let row = PublishedUpstream {
            announcement: announcement.clone(),
            presence,
            last_change: change,
            last_full_change,
        };
        self.by_change.insert(change, upstream.clone());
        self.pending_loads.remove(&upstream);
        self.rows.insert(upstream, row);
    }
}

impl PublishedUpstream {
    /// Returns the row for a reader that has applied all changes up to `base`.
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
