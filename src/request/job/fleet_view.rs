//! The capacity of the fleet as the placement policies use it.

use {
    crate::{connection::GuaranteedShare, prelude::*, version::Fleet},
    std::collections::BTreeSet,
};

/// The capacity of one worker that can be allocated.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerCapacity {
    /// The accelerators that no task holds.
    pub idle: AcceleratorSet,
    /// The number of plain tasks that can still be started.
    pub free_plain_tasks: u32,
    /// The accelerators that accounts are guaranteed.
    pub guaranteed: Vec<GuaranteedShare>,
    /// The accelerators that are guaranteed to an account and held by another account's evictable
    /// work.
    pub evictable: AcceleratorSet,
    /// Whether a waiting job claims the worker; other jobs then get only what their accounts are
    /// guaranteed.
    pub claimed: bool,
}

/// The accelerators of one worker that a job may use, in the order in which they are allocated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tiers {
    /// Idle and guaranteed to the job's own account.
    pub own: AcceleratorSet,
    /// Idle and guaranteed to nobody.
    pub unreserved: AcceleratorSet,
    /// Idle and guaranteed to other accounts, which may evict the job.
    pub borrowed: AcceleratorSet,
    /// Guaranteed to the job's own account and held by other accounts' work, which would be evicted.
    pub reclaimable: AcceleratorSet,
}

/// All workers with the capacity of each.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The workers.
    pub fleet: Rc<Fleet>,
    /// The capacity of each worker, in the order of the fleet's workers.
    pub capacities: Vec<WorkerCapacity>,
}

/// What a gang holds on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Allocation {
    /// The worker's index in the fleet.
    pub worker: usize,
    /// The accelerators.
    pub accelerators: AcceleratorSet,
    /// The number of plain tasks.
    pub plain_tasks: u32,
}

impl WorkerCapacity {
    /// Returns what a job of `account` may use. Work that cannot be evicted gets nothing that is
    /// guaranteed to other accounts.
    pub fn tiers(
        &self,
        account: &AccountName,
        evictable: bool,
    ) -> Tiers {
        let own = GuaranteedShare::of_account(&self.guaranteed, account);
        let others = GuaranteedShare::union_of(&self.guaranteed).without(own);
        let mut tiers = Tiers {
            own: self.idle.intersection(own),
            reclaimable: self.evictable.intersection(own),
            ..Tiers::default()
        };
        if !self.claimed {
            tiers.unreserved = self.idle.without(own).without(others);
        }
        if !self.claimed && evictable {
            tiers.borrowed = self.idle.intersection(others);
        }
        tiers
    }
}

impl Tiers {
    /// Returns the accelerators that can be used without an eviction.
    pub fn idle(&self) -> AcceleratorSet {
        self.own.union(self.unreserved).union(self.borrowed)
    }

    /// Returns all accelerators that can be used.
    pub fn all(&self) -> AcceleratorSet {
        self.idle().union(self.reclaimable)
    }

    /// Chooses `count` accelerators: own ones first, then unreserved, then borrowed, and those that
    /// need an eviction last. `None` when there are too few.
    pub fn allocate(
        &self,
        count: u32,
    ) -> Option<AcceleratorSet> {
        let mut chosen = AcceleratorSet::empty();
        for tier in [self.own, self.unreserved, self.borrowed, self.reclaimable] {
            let missing = count - chosen.len();
            match tier.select(missing) {
                Some(rest) => return Some(chosen.union(rest)),
                None => chosen = chosen.union(tier),
            }
        }
        None
    }

    /// Returns the tiers without the accelerators in `excluded`.
    pub fn without(
        &self,
        excluded: AcceleratorSet,
    ) -> Self {
        Self {
            own: self.own.without(excluded),
            unreserved: self.unreserved.without(excluded),
            borrowed: self.borrowed.without(excluded),
            reclaimable: self.reclaimable.without(excluded),
        }
    }
}

impl FleetView {
    /// Marks capacity as held.
    pub fn allocate(
        &mut self,
        allocations: &[Allocation],
    ) {
        for allocation in allocations {
            let capacity = &mut self.capacities[allocation.worker];
            capacity.idle = capacity.idle.without(allocation.accelerators);
            capacity.evictable = capacity.evictable.without(allocation.accelerators);
            capacity.free_plain_tasks = capacity
                .free_plain_tasks
                .saturating_sub(allocation.plain_tasks);
        }
    }

    /// Marks capacity as idle.
    pub fn release(
        &mut self,
        allocations: &[Allocation],
    ) {
        for allocation in allocations {
            let capacity = &mut self.capacities[allocation.worker];
            capacity.idle = capacity.idle.union(allocation.accelerators);
            capacity.free_plain_tasks += allocation.plain_tasks;
        }
    }

    /// Sets the capacity of some workers to nothing.
    pub fn exclude(
        &mut self,
        workers: &BTreeSet<UpstreamName>,
    ) {
        for worker in workers {
            if let Some(i) = self.fleet.index_of(worker) {
                self.capacities[i].idle = AcceleratorSet::empty();
                self.capacities[i].evictable = AcceleratorSet::empty();
                self.capacities[i].free_plain_tasks = 0;
            }
        }
    }

    /// Marks some workers as claimed by a waiting job.
    pub fn mark_claimed(
        &mut self,
        workers: &BTreeSet<UpstreamName>,
    ) {
        for worker in workers {
            if let Some(i) = self.fleet.index_of(worker) {
                self.capacities[i].claimed = true;
            }
        }
    }

    /// Returns the number of idle accelerators.
    pub fn idle_accelerators(&self) -> u32 {
        self.capacities.iter().map(|c| c.idle.len()).sum()
    }

    /// Returns the name of the worker with an index in the fleet.
    pub fn upstream_of(
        &self,
        worker: usize,
    ) -> &UpstreamName {
        &self.fleet.workers()[worker].upstream
    }
}
