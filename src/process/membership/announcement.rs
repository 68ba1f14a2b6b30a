//! The datagrams of membership.

use {
    crate::{prelude::*, request::WorkerView},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// The largest datagram, in bytes.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1400;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServingState {
    /// It takes new work.
    #[display("serving")]
    Serving,
    /// It finishes what it has and takes nothing new.
    #[display("draining")]
    Draining,
    /// It is about to end.
    #[display("leaving")]
    Leaving,
}

/// What an upstream tells of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The upstream.
    pub upstream: UpstreamName,
    /// A number drawn at each start of its guard.
    pub incarnation: u64,
    /// The announcement's number within that start.
    pub sequence: u64,
    /// Where its guard takes calls.
    pub guard_address: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its rack.
    pub rack: RackName,
    /// Whether it takes new work.
    pub serving: ServingState,
    /// The number of its slots.
    pub slots: u32,
    /// The slots in use.
    pub slots_in_use: u32,
    /// All its accelerators.
    pub accelerators: AcceleratorSet,
    /// The accelerators that no task and no reservation holds.
    pub accelerators_free: AcceleratorSet,
    /// The document version that its guard has in force.
    pub version: VersionNumber,
}

/// A datagram between a guard and an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Datagram {
    /// A guard announces its upstream.
    Announce(Announcement),
}

impl Announcement {
    /// Returns the announcement as placement sees it.
    pub fn worker_view(&self) -> WorkerView {
        let free = match self.serving {
            ServingState::Serving => self.accelerators_free,
            ServingState::Draining | ServingState::Leaving => AcceleratorSet::empty(),
        };
        WorkerView {
            upstream: self.upstream.clone(),
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
            rack: self.rack.clone(),
            all: self.accelerators,
            free,
        }
    }
}
