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
pub enum Hold {
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
pub struct Holding {
    /// The account that owns the job.
    pub account: AccountName,
    /// The accelerators.
    pub accelerators: AcceleratorSet,
    /// The tasks without accelerators.
    pub plain_tasks: u32,
    /// How the tasks give their accelerators back.
    pub eviction: Eviction,
    /// How they are held.
    pub hold: Hold,
}

/// What a claim brings about.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Claim {
    /// The accelerators, which others may still use until they are evicted.
    pub accelerators: AcceleratorSet,
    /// The pieces that have to be evicted first.
    pub victims: Vec<GangId>,
}

/// The book of one upstream's accelerators.
#[derive(Debug)]
pub struct AcceleratorBook {
    all: AcceleratorSet,
    plain_tasks: u32,
    usable_from: Millis,
    holdings: BTreeMap<GangId, Holding>,
    layout: u64,
    guaranteed: Vec<GuaranteedShare>,
}

impl AcceleratorBook {
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
            plain_tasks,
            usable_from,
            holdings: BTreeMap::new(),
            layout: 0,
            guaranteed: Vec::new(),
        }
    }

    /// Returns all accelerators.
    pub fn all(&self) -> AcceleratorSet {
        self.all
    }

    /// Returns the accelerators that nothing holds.
    pub fn free(
        &self,
        now: Millis,
    ) -> AcceleratorSet {
        if now < self.usable_from {
            return AcceleratorSet::empty();
        }
        self.all.without(self.held_by(|_| true))
    }

    /// Returns how many tasks without accelerators could still be started.
    pub fn plain_free(
        &self,
        now: Millis,
    ) -> u32 {
        if now < self.usable_from {
            return 0;
        }
        let held = self.holdings.values().map(|h| h.plain_tasks);
        self.plain_tasks.saturating_sub(held.sum())
    }

    /// Returns the accelerators of the holdings that a condition picks.
    pub fn held_by<F>(
        &self,
        picks: F,
    ) -> AcceleratorSet
    where
        F: Fn(&Holding) -> bool,
    {
        let held = self.holdings.values().filter(|h| picks(h));
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
        let newer = layout > self.layout;
        if newer {
            self.layout = layout;
            self.guaranteed = guaranteed;
        }
        newer
    }

    /// Returns the number of the layout in force.
    pub fn layout(&self) -> u64 {
        self.layout
    }

    /// Returns which accelerators are guaranteed to whom.
    pub fn guaranteed(&self) -> &[GuaranteedShare] {
        &self.guaranteed
    }

    /// Returns the guaranteed accelerators that their account can reclaim from others' work.
    pub fn borrowed(&self) -> AcceleratorSet {
        let running = self.held_on_others_shares(Holding::is_reclaimable);
        running.without(self.held_by(|h| matches!(h.hold, Hold::Reserved { .. })))
    }

    /// Returns the guaranteed accelerators that their account cannot have now, because work that
    /// is never evicted was on them when the layout came.
    pub fn unmet(&self) -> AcceleratorSet {
        self.held_on_others_shares(|h| h.eviction == Eviction::Never)
    }

    /// Returns what a piece holds.
    pub fn holding(
        &self,
        gang: GangId,
    ) -> Option<&Holding> {
        self.holdings.get(&gang)
    }

    /// Holds accelerators for a piece. An account's own share comes first, then what nobody is
    /// guaranteed, then others' shares, and then what others' work gives back on the own share.
    ///
    /// # Errors
    /// [`Refusal::NoAccelerators`] when these are too few, [`Refusal::NoTaskRoom`] when too many
    /// tasks without accelerators run.
    pub fn claim(
        &mut self,
        now: Millis,
        call: &ReserveCall,
        until: Millis,
    ) -> Result<Claim, Refusal> {
        let needed = call.accelerators * call.members.len() as u32;
        let plain_tasks = call.plain_tasks();
        if plain_tasks > self.plain_free(now) {
            return Err(Refusal::NoTaskRoom);
        }
        let mut claim = self.claim_free(now, call, needed);
        let missing = needed - claim.accelerators.len();
        if missing > 0 {
            self.claim_borrowed(now, call, missing, &mut claim)?;
        }
        for victim in &claim.victims {
            if let Some(holding) = self.holdings.get_mut(victim) {
                holding.hold = Hold::Evicting;
            }
        }
        let holding = Holding {
            account: call.account.clone(),
            accelerators: claim.accelerators,
            plain_tasks,
            eviction: call.eviction,
            hold: Hold::Reserved { until },
        };
        self.holdings.insert(call.gang, holding);
        Ok(claim)
    }

    /// Tells whether nothing else holds a piece's accelerators any more; `None` when the piece
    /// holds none.
    pub fn is_clear(
        &self,
        gang: GangId,
    ) -> Option<bool> {
        let own = self.holdings.get(&gang)?.accelerators;
        let others = self.holdings.iter().filter(|(id, _)| **id != gang);
        let others = others.map(|(_, h)| h.accelerators);
        Some(!others.into_iter().any(|o| o.intersects(own)))
    }

    /// Turns a reservation into a holding of running tasks.
    ///
    /// # Errors
    /// [`Refusal::NotReserved`] when the reservation has lapsed or is not clear.
    pub fn start(
        &mut self,
        now: Millis,
        gang: GangId,
    ) -> Result<AcceleratorSet, Refusal> {
        let clear = self.is_clear(gang) == Some(true);
        let holding = self.holdings.get_mut(&gang).ok_or(Refusal::NotReserved)?;
        match holding.hold {
            Hold::Reserved { until } if clear && now < until => holding.hold = Hold::Started,
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
        if let Some(holding) = self.holdings.get_mut(&gang) {
            holding.hold = Hold::Quarantined { until };
        }
    }

    /// Gives back what a piece holds; `true` when it held anything.
    pub fn release(
        &mut self,
        gang: GangId,
    ) -> bool {
        self.holdings.remove(&gang).is_some()
    }

    /// Gives back what has lapsed, and returns its pieces.
    pub fn expire(
        &mut self,
        now: Millis,
    ) -> Vec<GangId> {
        let lapsed = self.holdings.iter().filter(|(_, h)| h.has_lapsed(now));
        let lapsed: Vec<GangId> = lapsed.map(|(id, _)| *id).collect();
        for gang in &lapsed {
            self.holdings.remove(gang);
        }
        lapsed
    }

    /// Chooses up to `needed` accelerators that nothing holds.
    fn claim_free(
        &self,
        now: Millis,
        call: &ReserveCall,
        needed: u32,
    ) -> Claim {
        let own = GuaranteedShare::of_account(&self.guaranteed, &call.account);
        let others = GuaranteedShare::union_of(&self.guaranteed).without(own);
        let free = self.free(now);
        let mut claim = Claim::default();
        claim.add(free.intersection(own), needed);
        claim.add(free.without(own).without(others), needed);
        if call.eviction.is_possible() {
            claim.add(free.intersection(others), needed);
        }
        claim
    }

    /// Adds accelerators of the account's share that others' work has to give back: of as few
    /// pieces as possible, those that hold most of the share first.
    fn claim_borrowed(
        &self,
        now: Millis,
        call: &ReserveCall,
        mut missing: u32,
        claim: &mut Claim,
    ) -> Result<(), Refusal> {
        let share = GuaranteedShare::of_account(&self.guaranteed, &call.account);
        let promised = self.held_by(|h| h.account == call.account);
        let share = share.without(promised);
        let on_share = |h: &Holding| h.accelerators.intersection(share);
        let borrowers = self.holdings.iter().filter(|(_, h)| h.is_reclaimable());
        let mut borrowers: Vec<(&GangId, AcceleratorSet)> =
            borrowers.map(|(id, h)| (id, on_share(h))).collect();
        borrowers.retain(|(_, given)| !given.is_empty());
        borrowers.sort_by_key(|(id, given)| (std::cmp::Reverse(given.len()), **id));
        for (gang, given) in borrowers {
            if missing == 0 || now < self.usable_from {
                break;
            }
            let taken = given.select(missing.min(given.len())).unwrap_or_default();
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
    fn held_on_others_shares<F>(
        &self,
        picks: F,
    ) -> AcceleratorSet
    where
        F: Fn(&Holding) -> bool,
    {
        let guaranteed = GuaranteedShare::union_of(&self.guaranteed);
        let picked = self.holdings.values().filter(|h| picks(h));
        let borrowed = picked.map(|h| {
            let own = GuaranteedShare::of_account(&self.guaranteed, &h.account);
            h.accelerators.intersection(guaranteed.without(own))
        });
        borrowed.fold(AcceleratorSet::empty(), AcceleratorSet::union)
    }
}

impl Claim {
    /// Adds accelerators of a set until there are `needed`.
    fn add(
        &mut self,
        set: AcceleratorSet,
        needed: u32,
    ) {
        let missing = needed - self.accelerators.len();
        let taken = set.select(missing.min(set.len())).unwrap_or_default();
        self.accelerators = self.accelerators.union(taken);
    }
}

impl Holding {
    /// Tells whether the owner of a share can have the accelerators back.
    fn is_reclaimable(&self) -> bool {
        let quarantined = matches!(self.hold, Hold::Quarantined { .. });
        self.eviction.is_possible() && !quarantined
    }

    fn has_lapsed(
        &self,
        now: Millis,
    ) -> bool {
        match self.hold {
            Hold::Reserved { until } | Hold::Quarantined { until } => until <= now,
            Hold::Started | Hold::Evicting => false,
        }
    }
}
