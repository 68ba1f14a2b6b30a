//! Accelerators that are still to be given out while a layout is made.

use {
    super::{Fleet, Guarantee, LaidMember, LaidShape, UnmetReason},
    crate::version::{AcceleratorSet, Adjacency, Shape},
};

/// The most choices of workers that are looked at for one shape.
const MAX_CHOICES: usize = 256;

/// The accelerators of a fleet that no shape holds yet.
#[derive(Clone, Debug)]
pub(super) struct Ground<'a> {
    fleet: &'a Fleet,
    free: Vec<AcceleratorSet>,
}

/// One way to lay the missing members of a shape.
struct Packing {
    members: Vec<LaidMember>,
    left_over: u32,
}

impl<'a> Ground<'a> {
    /// Returns the whole fleet.
    pub(super) fn new(fleet: &'a Fleet) -> Self {
        let free = fleet.workers().iter().map(|w| w.accelerators).collect();
        Self { fleet, free }
    }

    /// Takes accelerators that are free; `false` when the worker is lost or they are not free.
    pub(super) fn claim(
        &mut self,
        member: &LaidMember,
    ) -> bool {
        let Some(i) = self.fleet.index_of(&member.upstream) else {
            return false;
        };
        let free = self.free[i].contains(member.accelerators);
        if free {
            self.free[i] = self.free[i].without(member.accelerators);
        }
        free
    }

    /// Gives the accelerators of members back.
    pub(super) fn give_back(
        &mut self,
        members: &[LaidMember],
    ) {
        for member in members {
            if let Some(i) = self.fleet.index_of(&member.upstream) {
                self.free[i] = self.free[i].union(member.accelerators);
            }
        }
    }

    /// Lays a shape, with `kept` members that already hold accelerators: within the narrowest
    /// group that fits, with the fewest accelerators left over.
    pub(super) fn lay(
        &mut self,
        guarantee: &Guarantee,
        kept: &[LaidMember],
    ) -> Option<LaidShape> {
        let candidates = self.candidates(&guarantee.shape, kept);
        let members = candidates.into_iter().next()?;
        Some(self.take(guarantee, kept, members))
    }

    /// Takes the accelerators of one candidate.
    pub(super) fn take(
        &mut self,
        guarantee: &Guarantee,
        kept: &[LaidMember],
        members: Vec<LaidMember>,
    ) -> LaidShape {
        for member in &members {
            self.claim(member);
        }
        LaidShape {
            account: guarantee.account.clone(),
            shape: guarantee.shape,
            members: kept.iter().cloned().chain(members).collect(),
        }
    }

    /// Returns the ways to lay the missing members of a shape, the best first.
    pub(super) fn candidates(
        &self,
        shape: &Shape,
        kept: &[LaidMember],
    ) -> Vec<Vec<LaidMember>> {
        let mut candidates: Vec<Vec<LaidMember>> = Vec::new();
        for level in Adjacency::ALL.into_iter().filter(|l| *l <= shape.adjacency) {
            let groups = self.fleet.groups(level).iter();
            let groups = groups.filter(|g| self.holds_all(g, kept));
            let mut packings: Vec<Packing> = groups
                .filter_map(|g| self.pack(g, shape, shape.members - kept.len() as u32))
                .collect();
            packings.sort_by_key(|p| p.left_over);
            for packing in packings {
                if !candidates.contains(&packing.members) {
                    candidates.push(packing.members);
                }
            }
        }
        candidates
    }

    /// Returns every choice of workers for a shape, up to a bound.
    pub(super) fn choices(
        &self,
        shape: &Shape,
    ) -> Vec<Vec<LaidMember>> {
        let mut choices = Vec::new();
        for group in self.fleet.groups(shape.adjacency) {
            let mut trial = self.clone();
            trial.choose(group, shape, &mut Vec::new(), &mut choices);
        }
        choices
    }

    /// Extends `members` by workers of a group, in ascending order, to whole choices.
    fn choose(
        &mut self,
        group: &[usize],
        shape: &Shape,
        members: &mut Vec<LaidMember>,
        choices: &mut Vec<Vec<LaidMember>>,
    ) {
        if choices.len() >= MAX_CHOICES {
            return;
        }
        if members.len() as u32 == shape.members {
            choices.push(members.clone());
            return;
        }
        for (at, i) in group.iter().enumerate() {
            let Some(accelerators) = self.free[*i].take(shape.accelerators) else {
                continue;
            };
            let member = LaidMember {
                upstream: self.fleet.workers()[*i].upstream.clone(),
                accelerators,
            };
            self.claim(&member);
            members.push(member);
            self.choose(&group[at..], shape, members, choices);
            let member = members.pop();
            self.give_back(member.as_slice());
        }
    }

    /// Says why a shape cannot be laid.
    pub(super) fn reason(
        &self,
        shape: &Shape,
    ) -> UnmetReason {
        let left: u32 = self.free.iter().map(|f| f.len()).sum();
        let largest = self.fleet.largest_worker();
        let most = self.fleet.most_members(shape.adjacency, shape.accelerators);
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
        } else if left < shape.total() {
            UnmetReason::TooFewAccelerators {
                needed: shape.total(),
                left,
            }
        } else {
            UnmetReason::NotAdjacent {
                adjacency: shape.adjacency,
                left,
                needed: shape.members,
                most: self.most_members(shape),
            }
        }
    }

    fn most_members(
        &self,
        shape: &Shape,
    ) -> u32 {
        let groups = self.fleet.groups(shape.adjacency).iter();
        let members = groups.map(|g| g.iter().map(|i| self.free[*i].len() / shape.accelerators));
        members.map(Iterator::sum).max().unwrap_or_default()
    }

    fn holds_all(
        &self,
        group: &[usize],
        kept: &[LaidMember],
    ) -> bool {
        let mut indexes = kept.iter().map(|m| self.fleet.index_of(&m.upstream));
        indexes.all(|i| i.is_some_and(|i| group.contains(&i)))
    }

    /// Packs `missing` members on the workers of a group, the fullest first.
    fn pack(
        &self,
        group: &[usize],
        shape: &Shape,
        missing: u32,
    ) -> Option<Packing> {
        let mut workers = group.to_vec();
        workers.sort_by_key(|i| (self.free[*i].len(), *i));
        let mut packing = Packing {
            members: Vec::new(),
            left_over: 0,
        };
        for i in workers {
            let mut free = self.free[i];
            while (packing.members.len() as u32) < missing {
                let Some(accelerators) = free.take(shape.accelerators) else {
                    break;
                };
                free = free.without(accelerators);
                packing.members.push(LaidMember {
                    upstream: self.fleet.workers()[i].upstream.clone(),
                    accelerators,
                });
            }
            if free != self.free[i] {
                packing.left_over += free.len();
            }
        }
        (packing.members.len() as u32 == missing).then_some(packing)
    }
}
