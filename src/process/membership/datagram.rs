//! The datagrams of membership.

use {
    super::{Announcement, EntryRow, UpstreamHeartbeat},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// The largest datagram, in bytes.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1400;

/// The bytes of a datagram that are kept for what stands before its rows.
const RESERVED_HEAD_BYTES: usize = 100;

/// What an entry is to a guard that announces to it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WatcherRole {
    /// It watches the upstream and publishes it to the other entries.
    Primary,
    /// It hears the upstream and takes over when the primary watcher is lost.
    Standby,
    /// It is asked for entries and does not watch.
    Seed,
    /// It is no longer a watcher.
    Released,
}

/// An announcement to one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announce<T> {
    /// What is announced.
    pub content: T,
    /// What the entry is to the guard.
    pub role: WatcherRole,
    /// The digest of the entries that the guard knows.
    pub candidates: u32,
}

/// An entry's answer to an announcement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnounceAck {
    /// The number of the heard announcement.
    pub sequence: u64,
    /// Whether the entry knows the upstream's whole announcement.
    pub known: bool,
    /// The pause that the guard leaves between changes of load, in milliseconds.
    pub load_spacing_ms: u32,
}

/// Rows of what one entry publishes: those that changed after `base`, up to `upto`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// The entry that publishes.
    pub publisher: EntryName,
    /// The number of its start.
    pub incarnation: u64,
    /// The generation of its publication.
    pub generation: u32,
    /// The change after which the rows begin.
    pub base: u64,
    /// The last change that the rows hold.
    pub upto: u64,
    /// The rows, in the order of their changes.
    pub rows: Vec<MemberRow>,
    /// Whether the receiver passes it on to the entries of its region.
    pub relay: bool,
}

/// One published upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberRow {
    /// The whole announcement.
    Whole(Announcement),
    /// What changed of an announcement that the reader has.
    Pulse(UpstreamHeartbeat),
    /// The upstream has left or died, as of an announcement.
    Gone {
        /// The upstream.
        upstream: UpstreamName,
        /// The number of its guard's start.
        incarnation: u64,
        /// The number of its last announcement.
        sequence: u64,
    },
    /// The upstream is published by another entry now.
    Withdrawn {
        /// The upstream.
        upstream: UpstreamName,
    },
}

/// A datagram between guards and entries.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Datagram {
    /// A guard announces its upstream.
    Announce(Announce<Announcement>),
    /// A guard announces what can change of its upstream.
    Pulse(Announce<UpstreamHeartbeat>),
    /// An entry has heard an announcement.
    Ack(AnnounceAck),
    /// An entry tells a guard which entries may watch it.
    Candidates(Vec<EntryRow>),
    /// An entry asks a guard to announce at once.
    Probe,
    /// An entry asks another one whether it has heard an upstream lately.
    HeardAsk {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// An entry has heard an upstream lately.
    Heard {
        /// What was heard.
        pulse: UpstreamHeartbeat,
        /// How long ago, in milliseconds.
        age_ms: u32,
    },
    /// Heartbeats of entries; the receiver passes those from other regions on to its own region.
    Heartbeats(Vec<EntryRow>),
    /// What an entry publishes has changed.
    Delta(Delta),
    /// An entry asks the receiver for what it published after a change.
    DeltaAsk {
        /// The entry that asks.
        asker: EntryName,
        /// The start of the receiver that the asker knows.
        incarnation: u64,
        /// The generation that the asker knows.
        generation: u32,
        /// The last change that the asker has.
        have: u64,
    },
}

/// Splits rows into runs that fit a datagram each.
pub(super) fn split_rows<T>(rows: Vec<T>) -> Vec<Vec<T>>
where
    T: Serialize,
{
    let limit = MAX_DATAGRAM_BYTES - RESERVED_HEAD_BYTES;
    let mut runs = Vec::new();
    let mut run = Vec::new();
    let mut run_len = 0;
    for row in rows {
        let len = postcard::to_stdvec(&row).map_or(0, |r| r.len());
        if run_len + len > limit && !run.is_empty() {
            runs.push(std::mem::take(&mut run));
            run_len = 0;
        }
        run_len += len;
        run.push(row);
    }
    if !run.is_empty() {
        runs.push(run);
    }
    runs
}
