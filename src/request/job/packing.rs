//! Packing of a gang within one group of workers.

use {
    super::{Allocation, FleetView, GangPlacementRequest, Tiers},
    crate::prelude::*,
    std::cmp::Reverse,
};

/// Packs one gang, given what it may use on each worker of a fleet.
#[derive(Debug)]
pub(super) struct GangPacker {
    tiers: Vec<Tiers>,
    free_plain_tasks: Vec<u32>,
    accelerators_per_member: u32,
}

/// One placement of a gang.
#[derive(Clone, Debug, Default)]
pub(super) struct Packing {
    /// The worker of each member, by index in the fleet.
    pub(super) members: Vec<usize>,
    /// The allocation on each worker.
    pub(super) allocations: Vec<Allocation>,
    /// The number of accelerators that are guaranteed to nobody.
    pub(super) unreserved: u32,
    /// The number of accelerators that other accounts may reclaim.
    pub(super) borrowed: u32,
    /// The number of accelerators whose work would be evicted.
    pub(super) reclaimed: u32,
}

impl Packing {
    /// Returns the number of accelerators that stay idle on the workers that the gang uses.
    pub(super) fn idle_left(
        &self,
        view: &FleetView,
    ) -> u32 {
        let left = self.allocations.iter();
        let left = left.map(|a| view.capacities[a.worker].idle.without(a.accelerators).len());
        left.sum()
    }
}

impl GangPacker {
    /// Prepares to pack the gang of a request. Without `may_evict` no work is evicted.
    pub(super) fn new(
        request: &GangPlacementRequest,
        view: &FleetView,
        may_evict: bool,
    ) -> Self {
        let tiers = view.capacities.iter().map(|c| {
            let tiers = c.tiers(&request.account, request.evictable);
            match may_evict {
                true => tiers,
                false => tiers.without(tiers.reclaimable),
            }
        });
        Self {
            tiers: tiers.collect(),
            free_plain_tasks: view.capacities.iter().map(|c| c.free_plain_tasks).collect(),
            accelerators_per_member: request.gang.accelerators,
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

    /// Packs all members of a gang on a group: first on workers where a member fits on accelerators
    /// that its account is guaranteed, then on those with the least capacity. `None` when the group
    /// has too little.
    pub(super) fn pack(
        &self,
        request: &GangPlacementRequest,
        group: &[usize],
    ) -> Option<Packing> {
        let fitting: u32 = group.iter().map(|w| self.member_capacity(*w)).sum();
        if fitting < request.gang.members {
            return None;
        }
        let mut workers = group.to_vec();
        workers.retain(|w| self.member_capacity(*w) > 0);
        workers.sort_by_key(|w| {
            let tiers = &self.tiers[*w];
            let own_members = tiers.own.len().checked_div(self.accelerators_per_member);
            let capacity = match own_members {
                Some(_) => tiers.all().len(),
                None => self.free_plain_tasks[*w],
            };
            (Reverse(own_members.unwrap_or(0).min(1)), capacity, *w)
        });
        Some(self.fill(request, &workers))
    }

    /// Places as many members as fit on each worker, one worker after another, until all are placed.
    pub(super) fn fill(
        &self,
        request: &GangPlacementRequest,
        workers: &[usize],
    ) -> Packing {
        let mut packing = Packing::default();
        for worker in workers {
            let missing = request.gang.members - packing.members.len() as u32;
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
