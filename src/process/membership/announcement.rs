//! What an upstream tells of itself.

use {
    crate::{
        connection::{GangId, GuaranteedShare},
        prelude::*,
        request::Room,
        version::FleetWorker,
    },
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
    /// The most tasks without accelerators that it runs at once.
    pub plain_tasks: u32,
    /// The accelerators that no task and no reservation holds.
    pub accelerators_free: AcceleratorSet,
    /// The tasks without accelerators that could still be started.
    pub plain_free: u32,
    /// The accelerators that an account is guaranteed and that another account's evictable work
    /// holds.
    pub evictable: AcceleratorSet,
    /// The accelerators that accounts are guaranteed.
    pub guaranteed: Vec<GuaranteedShare>,
    /// Gangs that its guard leads and no owner has asked about for long; a few at most.
    pub orphans: Vec<GangId>,
    /// The document version that its guard has in force.
    pub version: VersionNumber,
}

/// The part of an announcement that changes while its guard runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamHeartbeat {
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
    /// The tasks without accelerators that could still be started.
    pub plain_free: u32,
    /// The accelerators whose holders give them back when they are reclaimed.
    pub evictable: AcceleratorSet,
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
    pub fn heartbeat(&self) -> UpstreamHeartbeat {
        UpstreamHeartbeat {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            serving: self.serving,
            slots_in_use: self.slots_in_use,
            accelerators_free: self.accelerators_free,
            plain_free: self.plain_free,
            evictable: self.evictable,
            version: self.version,
        }
    }

    /// Returns the announcement with a later pulse of the same start taken over.
    pub fn with_heartbeat(
        &self,
        pulse: &UpstreamHeartbeat,
    ) -> Self {
        Self {
            sequence: pulse.sequence,
            serving: pulse.serving,
            slots_in_use: pulse.slots_in_use,
            accelerators_free: pulse.accelerators_free,
            plain_free: pulse.plain_free,
            evictable: pulse.evictable,
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
    pub fn differs_beyond_heartbeat(
        &self,
        other: &Self,
    ) -> bool {
        self.with_heartbeat(&other.heartbeat()) != *other
    }

    /// Returns the accelerators that an account is guaranteed here.
    pub fn guaranteed_to(
        &self,
        account: &AccountName,
    ) -> AcceleratorSet {
        GuaranteedShare::of_account(&self.guaranteed, account)
    }

    /// Returns what an account could reserve now: what is free, and what others would have to
    /// give back. Work that is not `evictable` gets nothing of another account's share.
    pub fn free_for(
        &self,
        account: &AccountName,
        evictable: bool,
    ) -> AcceleratorSet {
        if self.serving != ServingState::Serving {
            return AcceleratorSet::empty();
        }
        let own = self.guaranteed_to(account);
        let others = GuaranteedShare::union_of(&self.guaranteed).without(own);
        let free = if evictable {
            self.accelerators_free
        } else {
            self.accelerators_free.without(others)
        };
        free.union(self.evictable.intersection(own))
    }

    /// Returns the worker, where it stands and what it has.
    pub fn fleet_worker(&self) -> FleetWorker {
        FleetWorker {
            upstream: self.upstream.clone(),
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
            rack: self.rack.clone(),
            accelerators: self.accelerators,
            plain_tasks: self.plain_tasks,
        }
    }

    /// Tells whether this is the announcement of a worker, unchanged.
    pub fn matches_worker(
        &self,
        worker: &FleetWorker,
    ) -> bool {
        self.upstream == worker.upstream
            && self.accelerators == worker.accelerators
            && self.rack == worker.rack
            && self.data_centre == worker.data_centre
            && self.region == worker.region
    }

    /// Returns what is to be had on the worker; nothing unless it is serving.
    pub fn free_capacity(&self) -> Room {
        if self.serving != ServingState::Serving {
            return Room::default();
        }
        Room {
            idle: self.accelerators_free,
            plain: self.plain_free,
            guaranteed: self.guaranteed.clone(),
            evictable: self.evictable,
            claimed: false,
        }
    }
}
