//! The heartbeat row in which an entry describes itself.

use {
    super::ServingState,
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// The description of an entry in one of its heartbeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// The entry's name.
    pub name: EntryName,
    /// The region of the entry.
    pub region: Region,
    /// The data centre of the entry.
    pub data_centre: DataCentre,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// The incarnation of the entry; later starts have higher numbers.
    pub incarnation: u64,
    /// The number of the heartbeat within that incarnation: the milliseconds since the start, or
    /// more when several are sent within a millisecond.
    pub heartbeat: u64,
    /// Whether it accepts new work.
    pub serving: ServingState,
    /// The version of its publication of the upstreams that it watches.
    pub published: PublicationVersion,
}

/// The version of one entry's publication.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PublicationVersion {
    /// The number of times that the publication was rebuilt within one incarnation of the entry.
    pub generation: u32,
    /// The number of changes within the generation.
    pub change: u64,
}
