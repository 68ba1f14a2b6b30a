//! The accelerators of an upstream: who is guaranteed and who holds which, and until when.

use {
    crate::{
        connection::{Eviction, GangId, GuaranteedShare, Refusal, ReserveCall},
        prelude::*,
    },
    std::collections::BTreeMap,
};

/// How a piece of a gang holds its accelerators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllocationState {
    /// Held until a start comes, until the given time at most. Others whose work is being evicted
    /// may still use some of the accelerators.
    Reserved {
        /// When the reservation lapses.
        until: Millis,
    },
    /// Tasks were started on them.
    Started,
    /// The tasks are to stop, because the owner of the share comes.
    Evicting,
    /// The tasks may still run until the given time, when their lease at the worker has lapsed.
    Quarantined {
        /// When the lease has lapsed.
        until: Millis,
    },
}

/// What one piece of a gang holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PieceAllocation {
    /// The account that owns the job.
    pub account: AccountName,
    /// The accelerators.
    pub accelerators: AcceleratorSet,
    /// The tasks without accelerators.
    pub plain_tasks: u32,
    /// How the tasks give their accelerators back.
    pub eviction: Eviction,
    /// How they are held.
    pub state: AllocationState,
}

/// What a claim brings about.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reservation {
    /// The accelerators, which others may still use until they are evicted.
    pub accelerators: AcceleratorSet,
    /// The pieces that have to be evicted first.
    pub victims: Vec<GangId>,
}

/// The book of one upstream's accelerators.
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
    /// Creates a book in which nothing is held; `plain_tasks` is the most tasks without
    /// accelerators. Nothing is given out before `usable_from`, because
    /// tasks that were started before the guard may run until then.
    pub fn new(
        all: AcceleratorSet,
        plain_tasks: u32,
        usable_from: Millis,
    ) -> Self {
        Self {
            all,
            max_plain_tasks: plain_tasks,
            usable_from,
            allocations: BTreeMap::new(),
            layout_number: 0,
            guaranteed: Vec::new(),
        }
    }

    /// Returns all accelerators.
    pub fn all(&self) -> AcceleratorSet {
        self.all
    }

    /// Returns the accelerators that nothing holds.
    pub fn free_accelerators(
        &self,
        now: Millis,
    ) -> AcceleratorSet {
        if now < self.usable_from {
            return AcceleratorSet::empty();
        }
        self.all.without(self.accelerators_where(|_| true))
    }

    /// Returns how many tasks without accelerators could still be started.
    pub fn free_plain_tasks(
        &self,
        now: Millis,
    ) -> u32 {
        if now < self.usable_from {
            return 0;
        }
        let held = self.allocations.values().map(|h| h.plain_tasks);
        self.max_plain_tasks.saturating_sub(held.sum())
    }

    /// Returns the accelerators of the holdings that a condition picks.
    pub fn accelerators_where<F>(
        &self,
        picks: F,
    ) -> AcceleratorSet
    where
        F: Fn(&PieceAllocation) -> bool,
    {
        let held = self.allocations.values().filter(|h| picks(h));
        let held = held.map(|h| h.accelerators);
        held.fold(AcceleratorSet::empty(), AcceleratorSet::union)
    }

    /// Takes over which accelerators are guaranteed to whom; `false` when as new a layout is
    /// known.
    pub fn set_guaranteed(
        &mut self,
        layout: u64,
        guaranteed: Vec<GuaranteedShare>,
    ) -> bool {
        let newer = layout > self.layout_number;
        if newer {
            self.layout_number = layout;
            self.guaranteed = guaranteed;
        }
        newer
    }

    /// Returns the number of the layout in force.
    pub fn layout_number(&self) -> u64 {
        self.layout_number
    }

    /// Returns which accelerators are guaranteed to whom.
    pub fn guaranteed(&self) -> &[GuaranteedShare] {
        &self.guaranteed
    }

    /// Returns the guaranteed accelerators that their account can reclaim from others' work.
    pub fn borrowed(&self) -> AcceleratorSet {
        let running = self.held_on_foreign_shares(PieceAllocation::is_reclaimable);
        running.without(
            self.accelerators_where(|h| matches!(h.state, AllocationState::Reserved { .. })),
        )
    }

    /// Returns the guaranteed accelerators that their account cannot have now, because work that
    /// is never evicted was on them when the layout came.
    pub fn unmet(&self) -> AcceleratorSet {
        self.held_on_foreign_shares(|h| h.eviction == Eviction::Never)
    }

    /// Returns what a piece holds.
    pub fn allocation(
        &self,
        gang: GangId,
    ) -> Option<&PieceAllocation> {
        self.allocations.get(&gang)
    }

    /// Holds accelerators for a piece. An account's own share comes first, then what nobody is
    /// guaranteed, then others' shares, and then what others' work gives back on the own share.
    ///
    /// # Errors
    /// [`Refusal::NoAccelerators`] when these are too few, [`Refusal::NoTaskRoom`] when too many
    /// tasks without accelerators run.
    pub fn reserve(
        &mut self,
        now: Millis,
        call: &ReserveCall,
        until: Millis,
    ) -> Result<Reservation, Refusal> {
        let needed = call.accelerators * call.members.len() as u32;
        let plain_tasks = call.plain_tasks();
        if plain_tasks > self.free_plain_tasks(now) {
            return Err(Refusal::NoTaskRoom);
        }
        let mut claim = self.reserve_free(now, call, needed);
        let missing = needed - claim.accelerators.len();
        if missing > 0 {
            self.reserve_borrowed(now, call, missing, &mut claim)?;
        }
        for victim in &claim.victims {
            if let Some(holding) = self.allocations.get_mut(victim) {
                holding.state = AllocationState::Evicting;
            }
        }
        let holding = PieceAllocation {
            account: call.account.clone(),
            accelerators: claim.accelerators,
            plain_tasks,
            eviction: call.eviction,
            state: AllocationState::Reserved { until },
        };
        self.allocations.insert(call.gang, holding);
        Ok(claim)
    }

    /// Tells whether nothing else holds a piece's accelerators any more; `None` when the piece
    /// holds none.
    pub fn is_exclusive(
        &self,
        gang: GangId,
    ) -> Option<bool> {
        let own = self.allocations.get(&gang)?.accelerators;
        let others = self.allocations.iter().filter(|(id, _)| **id != gang);
        let others = others.map(|(_, h)| h.accelerators);
        Some(!others.into_iter().any(|o| o.intersects(own)))
    }

    /// Turns a reservation into a holding of running tasks.
    ///
    /// # Errors
    /// [`Refusal::NotReserved`] when the reservation has lapsed or is not clear.
    pub fn mark_started(
        &mut self,
        now: Millis,
        gang: GangId,
    ) -> Result<AcceleratorSet, Refusal> {
        let clear = self.is_exclusive(gang) == Some(true);
        let holding = self
            .allocations
            .get_mut(&gang)
            .ok_or(Refusal::NotReserved)?;
        match holding.state {
            AllocationState::Reserved { until } if clear && now < until => {
                holding.state = AllocationState::Started
            }
            _ => return Err(Refusal::NotReserved),
        }
        Ok(holding.accelerators)
    }

    /// Keeps a piece's accelerators until its tasks' lease at the worker has lapsed.
    pub fn quarantine(
        &mut self,
        gang: GangId,
        until: Millis,
    ) {
        if let Some(holding) = self.allocations.get_mut(&gang) {
            holding.state = AllocationState::Quarantined { until };
        }
    }

    /// Gives back what a piece holds; `true` when it held anything.
    pub fn release(
        &mut self,
        gang: GangId,
    ) -> bool {
        self.allocations.remove(&gang).is_some()
    }

    /// Gives back what has lapsed, and returns its pieces.
    pub fn expire(
        &mut self,
        now: Millis,
    ) -> Vec<GangId> {
        let lapsed = self.allocations.iter().filter(|(_, h)| h.is_expired(now));
        let lapsed: Vec<GangId> = lapsed.map(|(id, _)| *id).collect();
        for gang in &lapsed {
            self.allocations.remove(gang);
        }
        lapsed
    }

    /// Chooses up to `needed` accelerators that nothing holds.
    fn reserve_free(
        &self,
        now: Millis,
        call: &ReserveCall,
        needed: u32,
    ) -> Reservation {
        let own = GuaranteedShare::of_account(&self.guaranteed, &call.account);
        let others = GuaranteedShare::union_of(&self.guaranteed).without(own);
        let free = self.free_accelerators(now);
        let mut claim = Reservation::default();
        claim.fill_from(free.intersection(own), needed);
        claim.fill_from(free.without(own).without(others), needed);
        if call.eviction.is_possible() {
            claim.fill_from(free.intersection(others), needed);
        }
        claim
    }

    /// Adds accelerators of the account's share that others' work has to give back: of as few
    /// pieces as possible, those that hold most of the share first.
    fn reserve_borrowed(
        &self,
        now: Millis,
        call: &ReserveCall,
        mut missing: u32,
        claim: &mut Reservation,
    ) -> Result<(), Refusal> {
        let share = GuaranteedShare::of_account(&self.guaranteed, &call.account);
        let promised = self.accelerators_where(|h| h.account == call.account);
        let share = share.without(promised);
        let on_share = |h: &PieceAllocation| h.accelerators.intersection(share);
        let borrowers = self.allocations.iter().filter(|(_, h)| h.is_reclaimable());
        let mut borrowers: Vec<(&GangId, AcceleratorSet)> =
            borrowers.map(|(id, h)| (id, on_share(h))).collect();
        borrowers.retain(|(_, given)| !given.is_empty());
        borrowers.sort_by_key(|(id, given)| (std::cmp::Reverse(given.len()), **id));
        for (gang, given) in borrowers {
            if missing == 0 || now < self.usable_from {
                break;
            }
            let taken = given.take(missing.min(given.len())).unwrap_or_default();
            missing -= taken.len();
            claim.accelerators = claim.accelerators.union(taken);
            claim.victims.push(*gang);
        }
        if missing > 0 {
            return Err(Refusal::NoAccelerators);
        }
        Ok(())
    }

    /// Returns what the picked holdings have on shares of accounts other than their own.
    fn held_on_foreign_shares<F>(
        &self,
        picks: F,
    ) -> AcceleratorSet
    where
        F: Fn(&PieceAllocation) -> bool,
    {
        let guaranteed = GuaranteedShare::union_of(&self.guaranteed);
        let picked = self.allocations.values().filter(|h| picks(h));
        let borrowed = picked.map(|h| {
            let own = GuaranteedShare::of_account(&self.guaranteed, &h.account);
            h.accelerators.intersection(guaranteed.without(own))
        });
        borrowed.fold(AcceleratorSet::empty(), AcceleratorSet::union)
    }
}

impl Reservation {
    /// Adds accelerators of a set until there are `needed`.
    fn fill_from(
        &mut self,
        set: AcceleratorSet,
        needed: u32,
    ) {
        let missing = needed - self.accelerators.len();
        let taken = set.take(missing.min(set.len())).unwrap_or_default();
        self.accelerators = self.accelerators.union(taken);
    }
}

impl PieceAllocation {
    /// Tells whether the owner of a share can have the accelerators back.
    fn is_reclaimable(&self) -> bool {
        let quarantined = matches!(self.state, AllocationState::Quarantined { .. });
        self.eviction.is_possible() && !quarantined
    }

    fn is_expired(
        &self,
        now: Millis,
    ) -> bool {
        match self.state {
            AllocationState::Reserved { until } | AllocationState::Quarantined { until } => {
                until <= now
            }
            AllocationState::Started | AllocationState::Evicting => false,
        }
    }
}
