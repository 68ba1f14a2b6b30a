//! What an entry tells of itself.

use {
    super::ServingState,
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// One entry, as of one of its heartbeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRow {
    /// The entry's name.
    pub name: EntryName,
    /// Its region.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// The number of its start; later starts have higher ones.
    pub incarnation: u64,
    /// The number of the heartbeat within that start: the milliseconds since then, or more when
    /// several are sent at once.
    pub heartbeat: u64,
    /// Whether it takes new work.
    pub serving: ServingState,
    /// What it publishes of the upstreams that it watches.
    pub published: PublicationVersion,
}

/// A state of what one entry publishes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PublicationVersion {
    /// Counts the times that the publication was begun anew within one start of the entry.
    pub generation: u32,
    /// Counts the changes within the generation.
    pub change: u64,
}
