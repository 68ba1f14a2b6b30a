//! Allocates the accelerators of one upstream: which are guaranteed to which account, which piece
//! has which, and until when.

use {
    crate::{
        connection::{EvictionMode, GangId, GuaranteedShare, Refusal, ReserveCall},
        prelude::*,
    },
    std::collections::BTreeMap,
};

/// The state of a piece's allocation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllocationState {
    /// Reserved for a start that has not come yet. Pieces that are being evicted may still use some
    /// of the accelerators.
    Reserved {
        /// When the reservation expires.
        expires_at: Millis,
    },
    /// The piece's tasks were started.
    Started,
    /// The tasks have to stop because the account that is guaranteed the accelerators reclaims
    /// them.
    Evicting,
    /// The tasks may still run, until their lease at the worker has expired.
    Quarantined {
        /// When the lease has expired.
        expires_at: Millis,
    },
}

/// The resources allocated to one piece of a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PieceAllocation {
    /// The account that owns the job.
    pub account: AccountName,
    /// The accelerators allocated to the piece.
    pub accelerators: AcceleratorSet,
    /// The number of tasks without accelerators.
    pub plain_tasks: u32,
    /// How the tasks can be evicted.
    pub eviction: EvictionMode,
    /// The state of the allocation.
    pub state: AllocationState,
}

/// The result of reserving accelerators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reservation {
    /// The reserved accelerators. The victims may use some of them until they are evicted.
    pub accelerators: AcceleratorSet,
    /// The pieces that have to be evicted before the reservation can be started.
    pub victims: Vec<GangId>,
}

/// Tracks and allocates the accelerators and plain tasks of one upstream.
#[derive(Debug)]
pub struct AcceleratorAllocator {
    all: AcceleratorSet,
    max_plain_tasks: u32,
    usable_from: Millis,
    allocations: BTreeMap<GangId, PieceAllocation>,
    layout_number: u64,
    guaranteed: Vec<GuaranteedShare>,
}

impl AcceleratorAllocator {
    /// Creates an allocator without allocations; `max_plain_tasks` is the maximum number of tasks
    /// without accelerators. Nothing is allocated before `usable_from`, because tasks that an
    /// earlier guard process started may run until then.
    pub fn new(
        all: AcceleratorSet,
        max_plain_tasks: u32,
        usable_from: Millis,
    ) -> Self {
        Self {
            all,
            max_plain_tasks,
            usable_from,
            allocations: BTreeMap::new(),
            layout_number: 0,
            guaranteed: Vec::new(),
        }
    }

    /// Returns all accelerators of the upstream.
    pub fn all(&self) -> AcceleratorSet {
        self.all
    }

    /// Returns the accelerators that are not allocated; none before `usable_from`.
    pub fn free_accelerators(
        &self,
        now: Millis,
    ) -> AcceleratorSet {
        if now < self.usable_from {
            return AcceleratorSet::empty();
        }
        self.all.without(self.accelerators_where(|_| true))
    }

    /// Returns how many more tasks without accelerators can be started.
    pub fn free_plain_tasks(
        &self,
        now: Millis,
    ) -> u32 {
        if now < self.usable_from {
            return 0;
        }
        let allocated = self.allocations.values().map(|a| a.plain_tasks);
        self.max_plain_tasks.saturating_sub(allocated.sum())
    }

    /// Returns the union of the accelerators of all allocations that match the predicate.
    pub fn accelerators_where<F>(
        &self,
        predicate: F,
    ) -> AcceleratorSet
    where
        F: Fn(&PieceAllocation) -> bool,
    {
        let allocated = self.allocations.values().filter(|a| predicate(a));
        let allocated = allocated.map(|a| a.accelerators);
        allocated.fold(AcceleratorSet::empty(), AcceleratorSet::union)
    }

    /// Applies a layout of guaranteed shares; returns `false` and changes nothing when the same or
    /// a newer layout is in force.
    pub fn set_guaranteed(
        &mut self,
        layout: u64,
        guaranteed: Vec<GuaranteedShare>,
    ) -> bool {
        let is_newer = layout > self.layout_number;
        if is_newer {
            self.layout_number = layout;
            self.guaranteed = guaranteed;
        }
        is_newer
    }

    /// Returns the number of the layout in force.
    pub fn layout_number(&self) -> u64 {
        self.layout_number
    }

    /// Returns the guaranteed shares of the layout in force.
    pub fn guaranteed(&self) -> &[GuaranteedShare] {
        &self.guaranteed
    }

    /// Returns the guaranteed accelerators that their account can reclaim from other accounts'
    /// work.
    pub fn borrowed(&self) -> AcceleratorSet {
        let running = self.held_on_foreign_shares(PieceAllocation::is_reclaimable);
        running.without(
            self.accelerators_where(|a| matches!(a.state, AllocationState::Reserved { .. })),
        )
    }

    /// Returns the guaranteed accelerators that are not available to their account, because work
    /// that is never evicted was running on them when the layout came into force.
    pub fn unmet(&self) -> AcceleratorSet {
        self.held_on_foreign_shares(|a| a.eviction == EvictionMode::Never)
    }

    /// Returns the allocation of a piece.
    pub fn allocation(
        &self,
        gang: GangId,
    ) -> Option<&PieceAllocation> {
        self.allocations.get(&gang)
    }

    /// Reserves accelerators for a piece until `expires_at`. The order is: free accelerators of the
    /// account's own share, unreserved ones, other accounts' shares if the piece can be evicted,
    /// and then accelerators of the own share that other accounts' work has borrowed.
    ///
    /// # Errors
    /// [`Refusal::NoAccelerators`] when these are too few, [`Refusal::NoTaskRoom`] when the maximum
    /// of tasks without accelerators would be exceeded.
    pub fn reserve(
        &mut self,
        now: Millis,
        call: &ReserveCall,
        expires_at: Millis,
    ) -> Result<Reservation, Refusal> {
        let needed = call.accelerators_per_member * call.members.len() as u32;
        let plain_tasks = call.plain_task_count();
        if plain_tasks > self.free_plain_tasks(now) {
            return Err(Refusal::NoTaskRoom);
        }
        let mut reservation = self.reserve_free(now, call, needed);
        let missing = needed - reservation.accelerators.len();
        if missing > 0 {
            self.reserve_borrowed(now, call, missing, &mut reservation)?;
        }
        for victim in &reservation.victims {
            if let Some(allocation) = self.allocations.get_mut(victim) {
                allocation.state = AllocationState::Evicting;
            }
        }
        let allocation = PieceAllocation {
            account: call.account.clone(),
            accelerators: reservation.accelerators,
            plain_tasks,
            eviction: call.eviction,
            state: AllocationState::Reserved { expires_at },
        };
        self.allocations.insert(call.gang, allocation);
        Ok(reservation)
    }

    /// Returns whether no other piece is allocated any of a piece's accelerators; `None` when the
    /// piece has no allocation.
    pub fn is_exclusive(
        &self,
        gang: GangId,
    ) -> Option<bool> {
        let own = self.allocations.get(&gang)?.accelerators;
        let others = self.allocations.iter().filter(|(id, _)| **id != gang);
        let others = others.map(|(_, a)| a.accelerators);
        Some(!others.into_iter().any(|o| o.intersects(own)))
    }

    /// Marks a reserved piece as started and returns its accelerators.
    ///
    /// # Errors
    /// [`Refusal::NotReserved`] when the piece has no unexpired reservation or shares
    /// accelerators with a piece that is still being evicted.
    pub fn mark_started(
        &mut self,
        now: Millis,
        gang: GangId,
    ) -> Result<AcceleratorSet, Refusal> {
        let exclusive = self.is_exclusive(gang) == Some(true);
        let allocation = self
            .allocations
            .get_mut(&gang)
            .ok_or(Refusal::NotReserved)?;
        match allocation.state {
            AllocationState::Reserved { expires_at } if exclusive && now < expires_at => {
                allocation.state = AllocationState::Started;
            }
            _ => return Err(Refusal::NotReserved),
        }
        Ok(allocation.accelerators)
    }

    /// Keeps a piece's accelerators allocated until `expires_at`, when its tasks' lease at the
    /// worker has expired.
    pub fn quarantine(
        &mut self,
        gang: GangId,
        expires_at: Millis,
    ) {
        if let Some(allocation) = self.allocations.get_mut(&gang) {
            allocation.state = AllocationState::Quarantined { expires_at };
        }
    }

    /// Releases the allocation of a piece; returns whether it had one.
    pub fn release(
        &mut self,
        gang: GangId,
    ) -> bool {
        self.allocations.remove(&gang).is_some()
    }

    /// Releases the expired allocations and returns their pieces.
    pub fn expire(
        &mut self,
        now: Millis,
    ) -> Vec<GangId> {
        let expired = self.allocations.iter().filter(|(_, a)| a.is_expired(now));
        let expired: Vec<GangId> = expired.map(|(id, _)| *id).collect();
        for gang in &expired {
            self.allocations.remove(gang);
        }
        expired
    }

    /// Chooses up to `needed` free accelerators.
    fn reserve_free(
        &self,
        now: Millis,
        call: &ReserveCall,
        needed: u32,
    ) -> Reservation {
        let own = GuaranteedShare::of_account(&self.guaranteed, &call.account);
        let others = GuaranteedShare::union_of(&self.guaranteed).without(own);
        let free = self.free_accelerators(now);
        let mut reservation = Reservation::default();
        reservation.fill_from(free.intersection(own), needed);
        reservation.fill_from(free.without(own).without(others), needed);
        if call.eviction.is_possible() {
            reservation.fill_from(free.intersection(others), needed);
        }
        reservation
    }

    /// Adds accelerators of the account's share that other accounts' work has borrowed. To evict
    /// few pieces, those with the most accelerators of the share come first.
    fn reserve_borrowed(
        &self,
        now: Millis,
        call: &ReserveCall,
        mut missing: u32,
        reservation: &mut Reservation,
    ) -> Result<(), Refusal> {
        let share = GuaranteedShare::of_account(&self.guaranteed, &call.account);
        let already_held = self.accelerators_where(|a| a.account == call.account);
        let share = share.without(already_held);
        let on_share = |a: &PieceAllocation| a.accelerators.intersection(share);
        let borrowers = self.allocations.iter().filter(|(_, a)| a.is_reclaimable());
        let mut borrowers: Vec<(&GangId, AcceleratorSet)> =
            borrowers.map(|(id, a)| (id, on_share(a))).collect();
        borrowers.retain(|(_, reclaimable)| !reclaimable.is_empty());
        borrowers.sort_by_key(|(id, reclaimable)| (std::cmp::Reverse(reclaimable.len()), **id));
        for (gang, reclaimable) in borrowers {
            if missing == 0 || now < self.usable_from {
                break;
            }
            let taken = reclaimable
                .select(missing.min(reclaimable.len()))
                .unwrap_or_default();
            missing -= taken.len();
            reservation.accelerators = reservation.accelerators.union(taken);
            reservation.victims.push(*gang);
        }
        if missing > 0 {
            return Err(Refusal::NoAccelerators);
        }
        Ok(())
    }

    /// Returns the accelerators of matching allocations that are guaranteed to another account.
    fn held_on_foreign_shares<F>(
        &self,
        predicate: F,
    ) -> AcceleratorSet
    where
        F: Fn(&PieceAllocation) -> bool,
    {
        let guaranteed = GuaranteedShare::union_of(&self.guaranteed);
        let matching = self.allocations.values().filter(|a| predicate(a));
        let borrowed = matching.map(|a| {
            let own = GuaranteedShare::of_account(&self.guaranteed, &a.account);
            a.accelerators.intersection(guaranteed.without(own))
        });
        borrowed.fold(AcceleratorSet::empty(), AcceleratorSet::union)
    }
}

impl Reservation {
    /// Adds accelerators of a set until the reservation has `needed` or the set is used up.
    fn fill_from(
        &mut self,
        set: AcceleratorSet,
        needed: u32,
    ) {
        let missing = needed - self.accelerators.len();
        let taken = set.select(missing.min(set.len())).unwrap_or_default();
        self.accelerators = self.accelerators.union(taken);
    }
}

impl PieceAllocation {
    /// Returns whether the account that is guaranteed the accelerators can reclaim them.
    fn is_reclaimable(&self) -> bool {
        let quarantined = matches!(self.state, AllocationState::Quarantined { .. });
        self.eviction.is_possible() && !quarantined
    }

    fn is_expired(
        &self,
        now: Millis,
    ) -> bool {
        match self.state {
            AllocationState::Reserved { expires_at }
            | AllocationState::Quarantined { expires_at } => expires_at <= now,
            AllocationState::Started | AllocationState::Evicting => false,
        }
    }
}
