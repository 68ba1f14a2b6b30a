//! How much of what is idle is of no use.
//!
//! The measure is the expected share of idle accelerators that a shape drawn from the mix cannot
//! use, after fragmentation gradient descent: Weng et al., "Beware of Fragmentation: Scheduling
//! GPU-Sharing Workloads with Fragmentation Gradient Descent", USENIX ATC 2023. The paper counts
//! for each node; here a shape is counted for each group of workers that its adjacency allows.

use {
    super::{FleetView, ShapeMix, Taken},
    crate::version::{Fleet, Shape},
    std::{collections::BTreeMap, rc::Rc},
};

/// The fragmentation of one view, kept up as accelerators are taken.
#[derive(Clone, Debug)]
pub struct Fragmentation {
    fleet: Rc<Fleet>,
    mix: Rc<ShapeMix>,
    idle: Vec<u32>,
    idle_total: u32,
    /// For each shape of the mix and each group: how many members fit.
    members: Vec<Vec<u32>>,
}

impl Fragmentation {
    /// Measures a view.
    pub fn of(
        view: &FleetView,
        mix: Rc<ShapeMix>,
    ) -> Self {
        let idle: Vec<u32> = view.rooms.iter().map(|r| r.idle.len()).collect();
        let members = mix.shapes.iter().map(|m| {
            let groups = view.fleet.groups(m.shape.adjacency).iter();
            let fitting = groups.map(|g| g.iter().map(|w| idle[*w] / m.shape.accelerators).sum());
            fitting.collect()
        });
        Self {
            members: members.collect(),
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
        let shapes = self.mix.shapes.iter().zip(&self.members);
        let unusable = shapes.map(|(mix, groups)| {
            let usable: u32 = groups.iter().map(|n| usable(&mix.shape, *n)).sum();
            mix.share * f64::from(self.idle_total - usable)
        });
        unusable.sum()
    }

    /// Returns by how much the unusable accelerators rise when some are taken.
    pub fn rise(
        &self,
        taken: &[Taken],
    ) -> f64 {
        let total: u32 = taken.iter().map(|t| self.idle_taken(t)).sum();
        let shapes = self.mix.shapes.iter().zip(&self.members);
        let rises = shapes.map(|(mix, groups)| {
            let lost = self.usable_lost(&mix.shape, groups, taken);
            mix.share * (f64::from(lost) - f64::from(total))
        });
        rises.sum()
    }

    /// Returns how many accelerators a shape can use less when some are taken.
    fn usable_lost(
        &self,
        shape: &Shape,
        groups: &[u32],
        taken: &[Taken],
    ) -> u32 {
        let mut lost: BTreeMap<usize, u32> = BTreeMap::new();
        for part in taken {
            let idle = self.idle[part.worker];
            let left = idle - self.idle_taken(part);
            let members = idle / shape.accelerators - left / shape.accelerators;
            let group = self.fleet.group_of(shape.adjacency, part.worker);
            *lost.entry(group).or_default() += members;
        }
        let lost = lost.into_iter();
        lost.map(|(g, n)| usable(shape, groups[g]) - usable(shape, groups[g] - n))
            .sum()
    }

    /// Returns how many idle accelerators a part takes; the rest of it is evicted work's.
    fn idle_taken(
        &self,
        part: &Taken,
    ) -> u32 {
        part.accelerators.len().min(self.idle[part.worker])
    }
}

/// Returns the accelerators that whole shapes can use of a group in which `members` fit.
fn usable(
    shape: &Shape,
    members: u32,
) -> u32 {
    members / shape.members * shape.total_accelerators()
}
