//! The datagrams that entries and guards exchange for membership.

use {
    super::{Announcement, EntryRow, UpstreamHeartbeat},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// The maximum size of a datagram's content, in bytes.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1400;

/// The bytes of a datagram that are reserved for the fields other than its rows.
const RESERVED_HEAD_BYTES: usize = 100;

/// The role of an entry towards a guard that announces to it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WatcherRole {
    /// It watches the upstream and publishes it to the other entries.
    Primary,
    /// It receives the announcements and takes over when the primary watcher is lost.
    Standby,
    /// It is queried for candidate watchers and does not watch the upstream.
    Seed,
    /// It is no longer a watcher.
    Released,
}

/// An announcement to one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announce<T> {
    /// The full announcement, or the heartbeat.
    pub content: T,
    /// The role of the receiving entry.
    pub role: WatcherRole,
    /// The digest of the candidate watchers that the guard knows.
    pub candidates: u32,
}

/// An entry's answer to an announcement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnounceAck {
    /// The sequence number of the received announcement.
    pub sequence: u64,
    /// Whether the entry has the upstream's full announcement.
    pub known: bool,
    /// The minimum interval between announcements of load changes, in milliseconds.
    pub load_spacing_ms: u32,
}

/// The rows of one entry's publication that changed after `base`, up to and including `upto`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// The entry that publishes.
    pub publisher: EntryName,
    /// The publisher's incarnation.
    pub incarnation: u64,
    /// The generation of its publication.
    pub generation: u32,
    /// The number of the change that precedes the rows.
    pub base: u64,
    /// The number of the last change that the rows cover.
    pub upto: u64,
    /// The rows, in the order of their changes.
    pub rows: Vec<MemberRow>,
    /// Whether the receiver forwards it to the other entries of its region.
    pub relay: bool,
}

/// One published upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberRow {
    /// The full announcement.
    Whole(Announcement),
    /// An update of an announcement that the receiver has.
    Pulse(UpstreamHeartbeat),
    /// The upstream has left or failed after the announcement with this number.
    Gone {
        /// The upstream.
        upstream: UpstreamName,
        /// The incarnation of its guard.
        incarnation: u64,
        /// The sequence number of its last announcement.
        sequence: u64,
    },
    /// The publisher no longer watches the upstream; another entry publishes it.
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
    /// A guard sends a heartbeat of its upstream.
    Pulse(Announce<UpstreamHeartbeat>),
    /// An entry acknowledges an announcement.
    Ack(AnnounceAck),
    /// An entry sends a guard the candidates for its watchers.
    Candidates(Vec<EntryRow>),
    /// An entry requests an immediate announcement from a guard.
    Probe,
    /// An entry asks another one whether it has a recent announcement of an upstream.
    HeardAsk {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// An entry reports a recent announcement of an upstream.
    Heard {
        /// The changeable part of the announcement.
        pulse: UpstreamHeartbeat,
        /// The time since the announcement was received, in milliseconds.
        age_ms: u32,
    },
    /// Heartbeats of entries; the receiver forwards those from other regions within its own region.
    Heartbeats(Vec<EntryRow>),
    /// Changes of an entry's publication.
    Delta(Delta),
    /// An entry requests the changes that the receiver published after a known one.
    DeltaAsk {
        /// The requesting entry.
        asker: EntryName,
        /// The incarnation of the receiver that the requester knows.
        incarnation: u64,
        /// The generation of the publication that the requester knows.
        generation: u32,
        /// The last change that the requester has applied.
        have: u64,
    },
}

/// Splits rows into batches that each fit one datagram.
pub(super) fn split_rows<T>(rows: Vec<T>) -> Vec<Vec<T>>
where
    T: Serialize,
{
    let limit = MAX_DATAGRAM_BYTES - RESERVED_HEAD_BYTES;
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut batch_len = 0;
    for row in rows {
        let len = postcard::to_stdvec(&row).map_or(0, |r| r.len());
        if batch_len + len > limit && !batch.is_empty() {
            batches.push(std::mem::take(&mut batch));
            batch_len = 0;
        }
        batch_len += len;
        batch.push(row);
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
