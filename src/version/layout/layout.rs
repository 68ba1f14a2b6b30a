//! The layout and its parts, as processes exchange and store them.

use {
    crate::version::{AcceleratorSet, AccountName, Adjacency, Document, Shape, UpstreamName},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// A guaranteed shape of an account.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Guarantee {
    /// The account.
    pub account: AccountName,
    /// The shape.
    pub shape: Shape,
}

impl Guarantee {
    /// Returns all guarantees of a document, sorted by account.
    pub fn all_of(document: &Document) -> Vec<Self> {
        let accounts = document.accounts.values();
        let guarantees = accounts.flat_map(|a| {
            a.guarantees.iter().map(|shape| Self {
                account: a.name.clone(),
                shape: *shape,
            })
        });
        guarantees.collect()
    }
}

/// The accelerators of one member of a placed shape, all on one worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacedMember {
    /// The worker.
    pub upstream: UpstreamName,
    /// The accelerators.
    pub accelerators: AcceleratorSet,
}

/// A guaranteed shape with the accelerators that are assigned to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacedShape {
    /// The account.
    pub account: AccountName,
    /// The shape.
    pub shape: Shape,
    /// The members, in no particular order.
    pub members: Vec<PlacedMember>,
}

/// The reason why a shape could not be placed.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum UnmetReason {
    /// There is no upstream.
    #[display("no upstream is known")]
    NoUpstreams,
    /// A member needs more accelerators than any worker has.
    #[display("a member needs {needed} accelerators and the largest worker has {largest}")]
    NoWorkerLargeEnough {
        /// The number of accelerators of one member.
        needed: u32,
        /// The number of accelerators of the largest worker.
        largest: u32,
    },
    /// Even without other shapes, no group of workers has capacity for all members.
    #[display("the largest {adjacency} holds {most} of {needed} members, even when empty")]
    NoGroupLargeEnough {
        /// How close to each other the members have to be.
        adjacency: Adjacency,
        /// The number of members of the shape.
        needed: u32,
        /// The maximum number of members that one group has capacity for.
        most: u32,
    },
    /// Fewer accelerators are free than the shape needs.
    #[display("{needed} accelerators are needed and {left} are left beside other guarantees")]
    TooFewAccelerators {
        /// The number of accelerators of the shape.
        needed: u32,
        /// The number of accelerators that are not assigned to another shape.
        left: u32,
    },
    /// Enough accelerators are free, but not within one group of workers.
    #[display(
        "{left} accelerators are left, but one {adjacency} holds only {most} of {needed} members"
    )]
    NotAdjacent {
        /// How close to each other the members have to be.
        adjacency: Adjacency,
        /// The number of accelerators that are not assigned to another shape.
        left: u32,
        /// The number of members of the shape.
        needed: u32,
        /// The maximum number of members that one group has free capacity for.
        most: u32,
    },
}

/// A guaranteed shape that could not be placed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnmetShape {
    /// The account.
    pub account: AccountName,
    /// The shape.
    pub shape: Shape,
    /// The reason.
    pub reason: UnmetReason,
}

/// An assignment of accelerators to the guaranteed shapes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Layout {
    /// The placed shapes, sorted by account and shape.
    pub shapes: Vec<PlacedShape>,
    /// The shapes that could not be placed, sorted by account and shape.
    pub unmet: Vec<UnmetShape>,
}

impl Layout {
    /// Returns the accelerators of one worker that an account is guaranteed.
    pub fn guaranteed_on(
        &self,
        upstream: &UpstreamName,
        account: &AccountName,
    ) -> AcceleratorSet {
        let own = self.shapes.iter().filter(|s| s.account == *account);
        let members = own.flat_map(|s| &s.members);
        let here = members.filter(|m| m.upstream == *upstream);
        here.map(|m| m.accelerators)
            .fold(AcceleratorSet::empty(), AcceleratorSet::union)
    }

    /// Returns the accounts with guaranteed accelerators on a worker, sorted by name.
    pub fn accounts_on(
        &self,
        upstream: &UpstreamName,
    ) -> Vec<AccountName> {
        let here = |s: &&PlacedShape| s.members.iter().any(|m| m.upstream == *upstream);
        let shapes = self.shapes.iter().filter(here);
        let mut accounts: Vec<AccountName> = shapes.map(|s| s.account.clone()).collect();
        accounts.sort();
        accounts.dedup();
        accounts
    }

    /// Returns the number of accelerators of the placed shapes.
    pub fn placed_accelerators(&self) -> u32 {
        self.shapes
            .iter()
            .map(|s| s.shape.total_accelerators())
            .sum()
    }
}
