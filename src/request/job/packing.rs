//! Ways to place a gang within one group of workers.

use {
    super::{Allocation, FleetView, GangPlacementRequest, Tiers},
    crate::prelude::*,
    std::cmp::Reverse,
};

/// What a gang could have on each worker of a fleet.
#[derive(Debug)]
pub(super) struct GangPacker {
    tiers: Vec<Tiers>,
    free_plain_tasks: Vec<u32>,
    accelerators_per_member: u32,
}

/// One way to place the gang.
#[derive(Clone, Debug, Default)]
pub(super) struct Packing {
    /// The worker of each member.
    pub(super) members: Vec<usize>,
    /// The accelerators of each worker.
    pub(super) allocations: Vec<Allocation>,
    /// The accelerators that are guaranteed to nobody.
    pub(super) unreserved: u32,
    /// The accelerators that other accounts may reclaim.
    pub(super) borrowed: u32,
    /// The accelerators whose work would be evicted.
    pub(super) reclaimed: u32,
}

impl Packing {
    /// Returns the accelerators that stay idle on the workers that are taken.
    pub(super) fn idle_left(
        &self,
        view: &FleetView,
    ) -> u32 {
        let left = self.allocations.iter();
        let left = left.map(|t| view.capacities[t.worker].idle.without(t.accelerators).len());
        left.sum()
    }
}

impl GangPacker {
    /// Looks at a view as one job sees it; without `evicting`, nothing is evicted.
    pub(super) fn new(
        ask: &GangPlacementRequest,
        view: &FleetView,
        evicting: bool,
    ) -> Self {
        let tiers = view.capacities.iter().map(|r| {
            let tiers = r.tiers(&ask.account, ask.evictable);
            match evicting {
                true => tiers,
                false => tiers.without(tiers.reclaimable),
            }
        });
        Self {
            tiers: tiers.collect(),
            free_plain_tasks: view.capacities.iter().map(|r| r.free_plain_tasks).collect(),
            accelerators_per_member: ask.gang.accelerators,
        }
    }

    /// Returns how many members fit on a worker.
    pub(super) fn member_capacity(
        &self,
        worker: usize,
    ) -> u32 {
        let accelerators = self.tiers[worker].all().len();
        let members = accelerators.checked_div(self.accelerators_per_member);
        members.unwrap_or(self.free_plain_tasks[worker])
    }

    /// Packs all members of a gang on a group: on workers with own accelerators first, then on
    /// those with the least room.
    pub(super) fn pack(
        &self,
        ask: &GangPlacementRequest,
        group: &[usize],
    ) -> Option<Packing> {
        let fitting: u32 = group.iter().map(|w| self.member_capacity(*w)).sum();
        if fitting < ask.gang.members {
            return None;
        }
        let mut workers = group.to_vec();
        workers.retain(|w| self.member_capacity(*w) > 0);
        workers.sort_by_key(|w| {
            let tiers = &self.tiers[*w];
            let own_members = tiers.own.len().checked_div(self.accelerators_per_member);
            let room = match own_members {
                Some(_) => tiers.all().len(),
                None => self.free_plain_tasks[*w],
            };
            (Reverse(own_members.unwrap_or(0).min(1)), room, *w)
        });
        Some(self.fill(ask, &workers))
    }

    /// Places as many members as fit on each worker in turn.
    pub(super) fn fill(
        &self,
        ask: &GangPlacementRequest,
        workers: &[usize],
    ) -> Packing {
        let mut packing = Packing::default();
        for worker in workers {
            let missing = ask.gang.members - packing.members.len() as u32;
            self.place_members(
                &mut packing,
                *worker,
                self.member_capacity(*worker).min(missing),
            );
        }
        packing
    }

    fn place_members(
        &self,
        packing: &mut Packing,
        worker: usize,
        members: u32,
    ) {
        let tiers = &self.tiers[worker];
        let Some(accelerators) = tiers.allocate(members * self.accelerators_per_member) else {
            return;
        };
        if members == 0 {
            return;
        }
        let count = |tier: AcceleratorSet| tier.intersection(accelerators).len();
        packing.unreserved += count(tiers.unreserved);
        packing.borrowed += count(tiers.borrowed);
        packing.reclaimed += count(tiers.reclaimable);
        packing.allocations.push(Allocation {
            worker,
            accelerators,
            plain_tasks: match self.accelerators_per_member {
                0 => members,
                _ => 0,
            },
        });
        let members = std::iter::repeat_n(worker, members as usize);
        packing.members.extend(members);
    }
}
