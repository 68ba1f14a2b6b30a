//! The fragmentation of a fleet: how many idle accelerators no gang can use.
//!
//! The measure is the expected number of idle accelerators that a shape drawn from the mix cannot
//! use, after fragmentation gradient descent: Weng et al., "Beware of Fragmentation: Scheduling
//! GPU-Sharing Workloads with Fragmentation Gradient Descent", USENIX ATC 2023. The paper counts
//! for each node; here a shape is counted for each group of workers that its adjacency allows.

use {
    super::{Allocation, FleetView, ShapeMix},
    crate::version::{Fleet, Shape},
    std::{collections::BTreeMap, rc::Rc},
};

/// The fragmentation of one view of the fleet.
#[derive(Clone, Debug)]
pub struct Fragmentation {
    fleet: Rc<Fleet>,
    mix: Rc<ShapeMix>,
    idle: Vec<u32>,
    idle_total: u32,
    /// The number of members that fit, by shape of the mix and group of workers.
    members_by_group: Vec<Vec<u32>>,
}

impl Fragmentation {
    /// Measures the fragmentation of a view.
    pub fn of(
        view: &FleetView,
        mix: Rc<ShapeMix>,
    ) -> Self {
        let idle: Vec<u32> = view.capacities.iter().map(|c| c.idle.len()).collect();
        let members = mix.shapes.iter().map(|m| {
            let groups = view.fleet.groups(m.shape.adjacency).iter();
            let fitting = groups.map(|g| g.iter().map(|w| idle[*w] / m.shape.accelerators).sum());
            fitting.collect()
        });
        Self {
            members_by_group: members.collect(),
            fleet: view.fleet.clone(),
            mix,
            idle_total: idle.iter().sum(),
            idle,
        }
    }

    /// Returns the number of idle accelerators.
    pub fn idle(&self) -> u32 {
        self.idle_total
    }

    /// Returns the expected number of idle accelerators that a shape of the mix cannot use.
    pub fn unusable(&self) -> f64 {
        let shapes = self.mix.shapes.iter().zip(&self.members_by_group);
        let unusable = shapes.map(|(mix, groups)| {
            let usable: u32 = groups.iter().map(|n| usable(&mix.shape, *n)).sum();
            mix.share * f64::from(self.idle_total - usable)
        });
        unusable.sum()
    }

    /// Returns the change of [`unusable`](Self::unusable) if some accelerators are allocated.
    pub fn rise(
        &self,
        allocations: &[Allocation],
    ) -> f64 {
        let total: u32 = allocations.iter().map(|a| self.idle_taken(a)).sum();
        let shapes = self.mix.shapes.iter().zip(&self.members_by_group);
        let increases = shapes.map(|(mix, groups)| {
            let lost = self.usable_lost(&mix.shape, groups, allocations);
            mix.share * (f64::from(lost) - f64::from(total))
        });
        increases.sum()
    }

    /// Returns how many accelerators fewer a shape can use if some are allocated.
    fn usable_lost(
        &self,
        shape: &Shape,
        groups: &[u32],
        allocations: &[Allocation],
    ) -> u32 {
        let mut lost: BTreeMap<usize, u32> = BTreeMap::new();
        for allocation in allocations {
            let idle = self.idle[allocation.worker];
            let left = idle - self.idle_taken(allocation);
            let members = idle / shape.accelerators - left / shape.accelerators;
            let group = self.fleet.group_of(shape.adjacency, allocation.worker);
            *lost.entry(group).or_default() += members;
        }
        let lost = lost.into_iter();
        lost.map(|(g, n)| usable(shape, groups[g]) - usable(shape, groups[g] - n))
            .sum()
    }

    /// Returns how many idle accelerators an allocation uses; the rest of it comes from evicted work.
    fn idle_taken(
        &self,
        allocation: &Allocation,
    ) -> u32 {
        allocation
            .accelerators
            .len()
            .min(self.idle[allocation.worker])
    }
}

/// Returns the number of accelerators that whole gangs can use in a group in which `members` fit.
fn usable(
    shape: &Shape,
    members: u32,
) -> u32 {
    members / shape.members * shape.total_accelerators()
}
