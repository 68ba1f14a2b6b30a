//! The fleet as placement sees it.

use {
    crate::{connection::GuaranteedShare, prelude::*, version::Fleet},
    std::collections::BTreeSet,
};

/// What is to be had on one worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Room {
    /// The accelerators that nothing holds.
    pub idle: AcceleratorSet,
    /// The tasks without accelerators that could still be started.
    pub plain: u32,
    /// The accelerators that accounts are guaranteed.
    pub guaranteed: Vec<GuaranteedShare>,
    /// The accelerators that an account is guaranteed and that another account's evictable work
    /// holds.
    pub evictable: AcceleratorSet,
    /// Whether a waiting job claims the worker; others then get only what they are guaranteed.
    pub claimed: bool,
}

/// The accelerators of one worker that a job could have, by what taking them means.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tiers {
    /// Idle and guaranteed to the job's own account.
    pub own: AcceleratorSet,
    /// Idle and guaranteed to nobody.
    pub open: AcceleratorSet,
    /// Idle and guaranteed to other accounts, which may evict the job.
    pub borrowed: AcceleratorSet,
    /// Guaranteed to the job's own account and held by work that would be evicted.
    pub evicting: AcceleratorSet,
}

/// All workers with what is to be had on each.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The workers.
    pub fleet: Rc<Fleet>,
    /// What is to be had, in the order of the fleet's workers.
    pub rooms: Vec<Room>,
}

/// Accelerators of one worker that a gang takes or gives back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Taken {
    /// The worker's index in the fleet.
    pub worker: usize,
    /// The accelerators.
    pub accelerators: AcceleratorSet,
    /// The tasks without accelerators.
    pub plain_tasks: u32,
}

impl Room {
    /// Sorts what is to be had for a job of `account`. Work that cannot be evicted gets nothing of
    /// other accounts' shares.
    pub fn tiers(
        &self,
        account: &AccountName,
        evictable: bool,
    ) -> Tiers {
        let own = GuaranteedShare::of_account(&self.guaranteed, account);
        let others = GuaranteedShare::union_of(&self.guaranteed).without(own);
        let mut tiers = Tiers {
            own: self.idle.intersection(own),
            evicting: self.evictable.intersection(own),
            ..Tiers::default()
        };
        if !self.claimed {
            tiers.open = self.idle.without(own).without(others);
        }
        if !self.claimed && evictable {
            tiers.borrowed = self.idle.intersection(others);
        }
        tiers
    }
}

impl Tiers {
    /// Returns what can be had without evicting anything.
    pub fn idle(&self) -> AcceleratorSet {
        self.own.union(self.open).union(self.borrowed)
    }

    /// Returns all that can be had.
    pub fn all(&self) -> AcceleratorSet {
        self.idle().union(self.evicting)
    }

    /// Takes accelerators: own ones first, then open, then borrowed ones, and evicts last.
    pub fn take(
        &self,
        count: u32,
    ) -> Option<AcceleratorSet> {
        let mut taken = AcceleratorSet::empty();
        for tier in [self.own, self.open, self.borrowed, self.evicting] {
            let missing = count - taken.len();
            match tier.select(missing) {
                Some(rest) => return Some(taken.union(rest)),
                None => taken = taken.union(tier),
            }
        }
        None
    }

    /// Returns the tiers without some accelerators.
    pub fn without(
        &self,
        taken: AcceleratorSet,
    ) -> Self {
        Self {
            own: self.own.without(taken),
            open: self.open.without(taken),
            borrowed: self.borrowed.without(taken),
            evicting: self.evicting.without(taken),
        }
    }
}

impl FleetView {
    /// Marks accelerators as held.
    pub fn take(
        &mut self,
        taken: &[Taken],
    ) {
        for part in taken {
            let room = &mut self.rooms[part.worker];
            room.idle = room.idle.without(part.accelerators);
            room.evictable = room.evictable.without(part.accelerators);
            room.plain = room.plain.saturating_sub(part.plain_tasks);
        }
    }

    /// Marks accelerators as idle.
    pub fn give_back(
        &mut self,
        taken: &[Taken],
    ) {
        for part in taken {
            let room = &mut self.rooms[part.worker];
            room.idle = room.idle.union(part.accelerators);
            room.plain += part.plain_tasks;
        }
    }

    /// Takes all room of some workers out of the view.
    pub fn close(
        &mut self,
        workers: &BTreeSet<UpstreamName>,
    ) {
        for worker in workers {
            if let Some(i) = self.fleet.index_of(worker) {
                self.rooms[i].idle = AcceleratorSet::empty();
                self.rooms[i].evictable = AcceleratorSet::empty();
                self.rooms[i].plain = 0;
            }
        }
    }

    /// Marks some workers as claimed by a waiting job.
    pub fn claim(
        &mut self,
        workers: &BTreeSet<UpstreamName>,
    ) {
        for worker in workers {
            if let Some(i) = self.fleet.index_of(worker) {
                self.rooms[i].claimed = true;
            }
        }
    }

    /// Returns the number of idle accelerators.
    pub fn idle(&self) -> u32 {
        self.rooms.iter().map(|r| r.idle.len()).sum()
    }

    /// Returns the worker of a part.
    pub fn name_of(
        &self,
        worker: usize,
    ) -> &UpstreamName {
        &self.fleet.workers()[worker].upstream
    }
}
