//! The accelerators that are still unassigned while a layout is computed.

use {
    super::{Fleet, Guarantee, PlacedMember, PlacedShape, UnmetReason},
    crate::version::{AcceleratorSet, Adjacency, Shape},
};

/// The maximum number of placements that are enumerated for one shape.
const MAX_ENUMERATED_PLACEMENTS: usize = 256;

/// The accelerators of a fleet that are not assigned to a shape.
#[derive(Clone, Debug)]
pub(super) struct FreeAccelerators<'a> {
    fleet: &'a Fleet,
    /// The free accelerators of each worker, by index in the fleet.
    free_by_worker: Vec<AcceleratorSet>,
}

/// A placement of the missing members of a shape.
struct Packing {
    members: Vec<PlacedMember>,
    /// The number of accelerators that stay free on the workers of the members.
    leftover_accelerators: u32,
}

impl<'a> FreeAccelerators<'a> {
    /// Creates a value in which all accelerators of the fleet are free.
    pub(super) fn new(fleet: &'a Fleet) -> Self {
        let free_by_worker = fleet.workers().iter().map(|w| w.accelerators).collect();
        Self {
            fleet,
            free_by_worker,
        }
    }

    /// Allocates the accelerators of a member. Returns `false` and changes nothing if one of them
    /// is not free or the fleet does not contain the worker.
    pub(super) fn allocate(
        &mut self,
        member: &PlacedMember,
    ) -> bool {
        let Some(i) = self.fleet.index_of(&member.upstream) else {
            return false;
        };
        let is_free = self.free_by_worker[i].contains(member.accelerators);
        if is_free {
            self.free_by_worker[i] = self.free_by_worker[i].without(member.accelerators);
        }
        is_free
    }

    /// Frees the accelerators of members.
    pub(super) fn release(
        &mut self,
        members: &[PlacedMember],
    ) {
        for member in members {
            if let Some(i) = self.fleet.index_of(&member.upstream) {
                self.free_by_worker[i] = self.free_by_worker[i].union(member.accelerators);
            }
        }
    }

    /// Places a shape at its best [candidate](Self::candidates), or returns `None` if there is
    /// none. The accelerators of the `retained` members are already allocated.
    pub(super) fn place(
        &mut self,
        guarantee: &Guarantee,
        retained: &[PlacedMember],
    ) -> Option<PlacedShape> {
        let candidates = self.candidates(&guarantee.shape, retained);
        let members = candidates.into_iter().next()?;
        Some(self.allocate_members(guarantee, retained, members))
    }

    /// Allocates the accelerators of `members` and returns the shape, placed at the `retained` and
    /// these members.
    pub(super) fn allocate_members(
        &mut self,
        guarantee: &Guarantee,
        retained: &[PlacedMember],
        members: Vec<PlacedMember>,
    ) -> PlacedShape {
        for member in &members {
            self.allocate(member);
        }
        PlacedShape {
            account: guarantee.account.clone(),
            shape: guarantee.shape,
            members: retained.iter().cloned().chain(members).collect(),
        }
    }

    /// Returns placements for the missing members of a shape, at most one for each group of
    /// workers that contains the `retained` members. Those in narrower groups come first, then
    /// those that leave fewer accelerators free on their workers.
    pub(super) fn candidates(
        &self,
        shape: &Shape,
        retained: &[PlacedMember],
    ) -> Vec<Vec<PlacedMember>> {
        let mut candidates: Vec<Vec<PlacedMember>> = Vec::new();
        for level in Adjacency::ALL.into_iter().filter(|l| *l <= shape.adjacency) {
            let groups = self.fleet.groups(level).iter();
            let groups = groups.filter(|g| self.contains_members(g, retained));
            let mut packings: Vec<Packing> = groups
                .filter_map(|g| self.pack(g, shape, shape.members - retained.len() as u32))
                .collect();
            packings.sort_by_key(|p| p.leftover_accelerators);
            for packing in packings {
                if !candidates.contains(&packing.members) {
                    candidates.push(packing.members);
                }
            }
        }
        candidates
    }

    /// Returns the placements of a shape on every choice of workers, up to
    /// [`MAX_ENUMERATED_PLACEMENTS`].
    pub(super) fn enumerate_placements(
        &self,
        shape: &Shape,
    ) -> Vec<Vec<PlacedMember>> {
        let mut placements = Vec::new();
        for group in self.fleet.groups(shape.adjacency) {
            let mut trial = self.clone();
            trial.extend_placement(group, shape, &mut Vec::new(), &mut placements);
        }
        placements
    }

    /// Extends the partial placement `members` by workers of `group` in ascending order, and adds
    /// each complete placement to `placements`.
    fn extend_placement(
        &mut self,
        group: &[usize],
        shape: &Shape,
        members: &mut Vec<PlacedMember>,
        placements: &mut Vec<Vec<PlacedMember>>,
    ) {
        if placements.len() >= MAX_ENUMERATED_PLACEMENTS {
            return;
        }
        if members.len() as u32 == shape.members {
            placements.push(members.clone());
            return;
        }
        for (start, i) in group.iter().enumerate() {
            let Some(accelerators) = self.free_by_worker[*i].select(shape.accelerators) else {
                continue;
            };
            let member = PlacedMember {
                upstream: self.fleet.workers()[*i].upstream.clone(),
                accelerators,
            };
            self.allocate(&member);
            members.push(member);
            self.extend_placement(&group[start..], shape, members, placements);
            let member = members.pop();
            self.release(member.as_slice());
        }
    }

    /// Returns the reason why a shape cannot be placed.
    pub(super) fn unmet_reason(
        &self,
        shape: &Shape,
    ) -> UnmetReason {
        let left: u32 = self.free_by_worker.iter().map(|f| f.len()).sum();
        let largest = self.fleet.largest_worker_accelerators();
        let most = self.fleet.max_members(shape.adjacency, shape.accelerators);
        if self.fleet.workers().is_empty() {
            UnmetReason::NoUpstreams
        } else if largest < shape.accelerators {
            UnmetReason::NoWorkerLargeEnough {
                needed: shape.accelerators,
                largest,
            }
        } else if most < shape.members {
            UnmetReason::NoGroupLargeEnough {
                adjacency: shape.adjacency,
                needed: shape.members,
                most,
            }
        } else if left < shape.total_accelerators() {
            UnmetReason::TooFewAccelerators {
                needed: shape.total_accelerators(),
                left,
            }
        } else {
            UnmetReason::NotAdjacent {
                adjacency: shape.adjacency,
                left,
                needed: shape.members,
                most: self.max_members(shape),
            }
        }
    }

    /// Returns the largest number of members that fit into the free accelerators of one group.
    fn max_members(
        &self,
        shape: &Shape,
    ) -> u32 {
        let groups = self.fleet.groups(shape.adjacency).iter();
        let members = groups.map(|g| {
            g.iter()
                .map(|i| self.free_by_worker[*i].len() / shape.accelerators)
        });
        members.map(Iterator::sum).max().unwrap_or_default()
    }

    /// Returns whether the workers of all `members` are in a group.
    fn contains_members(
        &self,
        group: &[usize],
        members: &[PlacedMember],
    ) -> bool {
        let mut indexes = members.iter().map(|m| self.fleet.index_of(&m.upstream));
        indexes.all(|i| i.is_some_and(|i| group.contains(&i)))
    }

    /// Packs `missing` members onto the workers of a group, those with the fewest free accelerators
    /// first. Returns `None` if they do not all fit.
    fn pack(
        &self,
        group: &[usize],
        shape: &Shape,
        missing: u32,
    ) -> Option<Packing> {
        let mut workers = group.to_vec();
        workers.sort_by_key(|i| (self.free_by_worker[*i].len(), *i));
        let mut packing = Packing {
            members: Vec::new(),
            leftover_accelerators: 0,
        };
        for i in workers {
            let mut free = self.free_by_worker[i];
            while (packing.members.len() as u32) < missing {
                let Some(accelerators) = free.select(shape.accelerators) else {
                    break;
                };
                free = free.without(accelerators);
                packing.members.push(PlacedMember {
                    upstream: self.fleet.workers()[i].upstream.clone(),
                    accelerators,
                });
            }
            if free != self.free_by_worker[i] {
                packing.leftover_accelerators += free.len();
            }
        }
        (packing.members.len() as u32 == missing).then_some(packing)
    }
}
