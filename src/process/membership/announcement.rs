//! The datagrams of membership.

use {
    crate::{
        connection::{GangId, GuaranteedShare},
        prelude::*,
        request::WorkerView,
    },
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

/// A datagram between a guard and an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Datagram {
    /// A guard announces its upstream.
    Announce(Announcement),
}

impl Announcement {
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

    /// Returns the announcement as placement sees it for one account's work.
    pub fn worker_view(
        &self,
        account: &AccountName,
        evictable: bool,
    ) -> WorkerView {
        let guaranteed = self.guaranteed_to(account);
        WorkerView {
            upstream: self.upstream.clone(),
            region: self.region.clone(),
            data_centre: self.data_centre.clone(),
            rack: self.rack.clone(),
            all: self.accelerators,
            free: self.free_for(account, evictable),
            guaranteed,
            evictable: self.evictable.intersection(guaranteed),
        }
    }
}
