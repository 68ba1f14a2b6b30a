//! The announcement in which a guard describes its upstream.

use {
    crate::{
        connection::{GangId, GuaranteedShare},
        prelude::*,
        request::WorkerCapacity,
        version::FleetWorker,
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Whether an upstream or an entry accepts new work.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServingState {
    /// It accepts new work.
    #[display("serving")]
    Serving,
    /// It finishes its current work and accepts no new work.
    #[display("draining")]
    Draining,
    /// It is about to stop.
    #[display("leaving")]
    Leaving,
}

/// The full description of an upstream by its guard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The incarnation of its guard; later starts have higher numbers.
    pub incarnation: u64,
    /// The announcement's number within that incarnation.
    pub sequence: u64,
    /// The address at which its guard accepts calls.
    pub guard_address: SocketAddr,
    /// The region of the upstream.
    pub region: Region,
    /// The data centre of the upstream.
    pub data_centre: DataCentre,
    /// The rack of the upstream.
    pub rack: RackName,
    /// Whether it accepts new work.
    pub serving: ServingState,
    /// The number of its slots.
    pub slots: u32,
    /// The slots in use.
    pub slots_in_use: u32,
    /// All its accelerators.
    pub accelerators: AcceleratorSet,
    /// The maximum number of concurrent tasks without accelerators.
    pub plain_tasks: u32,
    /// The accelerators that are neither reserved nor in use by a task.
    pub accelerators_free: AcceleratorSet,
    /// The number of tasks without accelerators that can still be started.
    pub plain_free: u32,
    /// The accelerators guaranteed to one account that another account's evictable work occupies.
    pub evictable: AcceleratorSet,
    /// The accelerators guaranteed to accounts.
    pub guaranteed: Vec<GuaranteedShare>,
    /// Gangs led by its guard that no owner has queried for a long time; their number is limited.
    pub orphans: Vec<GangId>,
    /// The document version that its guard applies.
    pub version: VersionNumber,
}

/// The part of an announcement that can change while its guard runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamHeartbeat {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The incarnation of its guard.
    pub incarnation: u64,
    /// The announcement's number within that incarnation.
    pub sequence: u64,
    /// Whether it accepts new work.
    pub serving: ServingState,
    /// The slots in use.
    pub slots_in_use: u32,
    /// The accelerators that are neither reserved nor in use by a task.
    pub accelerators_free: AcceleratorSet,
    /// The number of tasks without accelerators that can still be started.
    pub plain_free: u32,
    /// The accelerators guaranteed to one account that another account's evictable work occupies.
    pub evictable: AcceleratorSet,
    /// The document version that its guard applies.
    pub version: VersionNumber,
}

impl Announcement {
    /// Returns the key that orders the announcements of one upstream: incarnation, then sequence.
    pub fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Returns the part that can change while the guard runs.
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

    /// Returns the announcement updated with a later heartbeat of the same incarnation.
    pub fn with_heartbeat(
        &self,
        heartbeat: &UpstreamHeartbeat,
    ) -> Self {
        Self {
            sequence: heartbeat.sequence,
            serving: heartbeat.serving,
            slots_in_use: heartbeat.slots_in_use,
            accelerators_free: heartbeat.accelerators_free,
            plain_free: heartbeat.plain_free,
            evictable: heartbeat.evictable,
            version: heartbeat.version,
            ..self.clone()
        }
    }

    /// Returns whether anything other than the load and the sequence number differs.
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

    /// Returns whether a heartbeat of `other` does not cover all differences.
    pub fn differs_beyond_heartbeat(
        &self,
        other: &Self,
    ) -> bool {
        self.with_heartbeat(&other.heartbeat()) != *other
    }

    /// Returns the accelerators guaranteed to an account on this upstream.
    pub fn guaranteed_to(
        &self,
        account: &AccountName,
    ) -> AcceleratorSet {
        GuaranteedShare::of_account(&self.guaranteed, account)
    }

    /// Returns the accelerators that an account could reserve now: the free ones, and those of its
    /// guarantee that can be reclaimed by eviction. Work that is not `evictable` gets no
    /// accelerator guaranteed to another account. Empty unless the upstream is serving.
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

    /// Returns the worker's name, location and resources.
    pub fn fleet_worker(&self) -> FleetWorker {
        FleetWorker {
            upstream: self.upstream.clone(),
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
            rack: self.rack.clone(),
            accelerators: self.accelerators,
            max_plain_tasks: self.plain_tasks,
        }
    }

    /// Returns whether name, location and accelerators equal those of a worker. The limit on plain
    /// tasks is not compared.
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

    /// Returns the worker's free capacity, which is empty unless it is serving.
    pub fn free_capacity(&self) -> WorkerCapacity {
        if self.serving != ServingState::Serving {
            return WorkerCapacity::default();
        }
        WorkerCapacity {
            idle: self.accelerators_free,
            free_plain_tasks: self.plain_free,
            guaranteed: self.guaranteed.clone(),
            evictable: self.evictable,
            claimed: false,
        }
    }
}
