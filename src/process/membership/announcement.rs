//! What an upstream tells of itself.

use {
    crate::{prelude::*, request::WorkerView},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

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

/// The part of an announcement that changes while its guard runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pulse {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The number of its guard's start.
    pub incarnation: u64,
    /// The announcement's number within that start.
    pub sequence: u64,
    /// Whether it takes new work.
    pub serving: ServingState,
    /// The slots in use.
    pub slots_in_use: u32,
    /// The accelerators that no task and no reservation holds.
    pub accelerators_free: AcceleratorSet,
    /// The document version that its guard has in force.
    pub version: VersionNumber,
}

impl Announcement {
    /// Returns what orders the announcements of one upstream: the guard's start, then the number
    /// within it.
    pub fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Returns the part that changes while the guard runs.
    pub fn pulse(&self) -> Pulse {
        Pulse {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            serving: self.serving,
            slots_in_use: self.slots_in_use,
            accelerators_free: self.accelerators_free,
            version: self.version,
        }
    }

    /// Returns the announcement with a later pulse of the same start taken over.
    pub fn with_pulse(
        &self,
        pulse: &Pulse,
    ) -> Self {
        Self {
            sequence: pulse.sequence,
            serving: pulse.serving,
            slots_in_use: pulse.slots_in_use,
            accelerators_free: pulse.accelerators_free,
            version: pulse.version,
            ..self.clone()
        }
    }

    /// Tells whether more than the load and the number differ.
    pub fn differs_in_status(
        &self,
        other: &Self,
    ) -> bool {
        let status = |a: &Self| Self {
            sequence: 0,
            slots_in_use: 0,
            ..a.clone()
        };
        status(self) != status(other)
    }

    /// Tells whether a pulse does not say all that differs from another announcement.
    pub fn differs_beyond_pulse(
        &self,
        other: &Self,
    ) -> bool {
        self.with_pulse(&other.pulse()) != *other
    }
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
