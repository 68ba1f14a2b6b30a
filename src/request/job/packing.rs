//! Ways to place a gang within one group of workers.

use {
    super::{Allocation, FleetView, PlacementRequest, Tiers},
    crate::prelude::*,
    std::cmp::Reverse,
};

/// What a gang could have on each worker of a fleet.
#[derive(Debug)]
pub(super) struct GangPacker {
    tiers: Vec<Tiers>,
    plain: Vec<u32>,
    accelerators_per_member: u32,
}

/// One way to place the gang.
#[derive(Clone, Debug, Default)]
pub(super) struct Packing {
    /// The worker of each member.
    pub(super) members: Vec<usize>,
    /// The accelerators of each worker.
    pub(super) taken: Vec<Allocation>,
    /// The accelerators that are guaranteed to nobody.
    pub(super) open: u32,
    /// The accelerators that other accounts may reclaim.
    pub(super) borrowed: u32,
    /// The accelerators whose work would be evicted.
    pub(super) evicting: u32,
}

impl Packing {
    /// Returns the accelerators that stay idle on the workers that are taken.
    pub(super) fn idle_left(
        &self,
        view: &FleetView,
    ) -> u32 {
        let left = self.taken.iter();
        let left = left.map(|t| view.capacities[t.worker].idle.without(t.accelerators).len());
        left.sum()
    }
}

impl GangPacker {
    /// Looks at a view as one job sees it; without `evicting`, nothing is evicted.
    pub(super) fn new(
        ask: &PlacementRequest,
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
            plain: view.capacities.iter().map(|r| r.free_plain_tasks).collect(),
            accelerators_per_member: ask.gang.accelerators,
        }
    }

    /// Returns how many members fit on a worker.
    pub(super) fn fitting(
        &self,
        worker: usize,
    ) -> u32 {
        let accelerators = self.tiers[worker].all().len();
        let members = accelerators.checked_div(self.accelerators_per_member);
        members.unwrap_or(self.plain[worker])
    }

    /// Packs all members of a gang on a group: on workers with own accelerators first, then on
    /// those with the least room.
    pub(super) fn pack(
        &self,
        ask: &PlacementRequest,
        group: &[usize],
    ) -> Option<Packing> {
        let fitting: u32 = group.iter().map(|w| self.fitting(*w)).sum();
        if fitting < ask.gang.members {
            return None;
        }
        let mut workers = group.to_vec();
        workers.retain(|w| self.fitting(*w) > 0);
        workers.sort_by_key(|w| {
            let tiers = &self.tiers[*w];
            let own_members = tiers.own.len().checked_div(self.accelerators_per_member);
            let room = match own_members {
                Some(_) => tiers.all().len(),
                None => self.plain[*w],
            };
            (Reverse(own_members.unwrap_or(0).min(1)), room, *w)
        });
        Some(self.fill(ask, &workers))
    }

    /// Places as many members as fit on each worker in turn.
    pub(super) fn fill(
        &self,
        ask: &PlacementRequest,
        workers: &[usize],
    ) -> Packing {
        let mut packing = Packing::default();
        for worker in workers {
            let missing = ask.gang.members - packing.members.len() as u32;
            self.place_members(&mut packing, *worker, self.fitting(*worker).min(missing));
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
        let Some(accelerators) = tiers.take(members * self.accelerators_per_member) else {
            return;
        };
        if members == 0 {
            return;
        }
        let count = |tier: AcceleratorSet| tier.intersection(accelerators).len();
        packing.open += count(tiers.unreserved);
        packing.borrowed += count(tiers.borrowed);
        packing.evicting += count(tiers.reclaimable);
        packing.taken.push(Allocation {
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
