//! The layout as every process knows it.

use {
    crate::version::{AcceleratorSet, AccountName, Adjacency, Document, Shape, UpstreamName},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// One guaranteed shape of one account.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Guarantee {
    /// The account.
    pub account: AccountName,
    /// The shape.
    pub shape: Shape,
}

impl Guarantee {
    /// Returns all guarantees of a document, account by account.
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

/// The accelerators of one member of a laid shape.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LaidMember {
    /// The worker.
    pub upstream: UpstreamName,
    /// The accelerators.
    pub accelerators: AcceleratorSet,
}

/// A guaranteed shape with the accelerators that it holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LaidShape {
    /// The account.
    pub account: AccountName,
    /// The shape.
    pub shape: Shape,
    /// The members, in no particular order.
    pub members: Vec<LaidMember>,
}

/// Why a shape could not be laid.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum UnmetReason {
    /// No upstream is known.
    #[display("no upstream is known")]
    NoUpstreams,
    /// No worker is large enough.
    #[display("a member needs {needed} accelerators and the largest worker has {largest}")]
    NoWorkerLargeEnough {
        /// The accelerators of one member.
        needed: u32,
        /// The accelerators of the largest worker.
        largest: u32,
    },
    /// Even without other shapes, no group of workers is large enough.
    #[display("the largest {adjacency} holds {most} of {needed} members, even when empty")]
    NoGroupLargeEnough {
        /// How near the members have to be.
        adjacency: Adjacency,
        /// The members of the shape.
        needed: u32,
        /// The most members that one group holds.
        most: u32,
    },
    /// Fewer accelerators are left than the shape needs.
    #[display("{needed} accelerators are needed and {left} are left beside other guarantees")]
    TooFewAccelerators {
        /// The accelerators of the shape.
        needed: u32,
        /// The accelerators that no other shape holds.
        left: u32,
    },
    /// Enough accelerators are left, but not near enough to each other.
    #[display(
        "{left} accelerators are left, but one {adjacency} holds only {most} of {needed} members"
    )]
    NotAdjacent {
        /// How near the members have to be.
        adjacency: Adjacency,
        /// The accelerators that no other shape holds.
        left: u32,
        /// The members of the shape.
        needed: u32,
        /// The most members that one group still holds.
        most: u32,
    },
}

/// A guaranteed shape that could not be laid.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnmetShape {
    /// The account.
    pub account: AccountName,
    /// The shape.
    pub shape: Shape,
    /// Why it was not laid.
    pub reason: UnmetReason,
}

/// Which accelerators each guaranteed shape holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Layout {
    /// The shapes that were laid, by account and shape.
    pub shapes: Vec<LaidShape>,
    /// The shapes that were not, by account and shape.
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

    /// Returns the accounts that are guaranteed something on a worker, by name.
    pub fn accounts_on(
        &self,
        upstream: &UpstreamName,
    ) -> Vec<AccountName> {
        let here = |s: &&LaidShape| s.members.iter().any(|m| m.upstream == *upstream);
        let shapes = self.shapes.iter().filter(here);
        let mut accounts: Vec<AccountName> = shapes.map(|s| s.account.clone()).collect();
        accounts.sort();
        accounts.dedup();
        accounts
    }

    /// Returns the number of accelerators that the laid shapes hold.
    pub fn laid_accelerators(&self) -> u32 {
        self.shapes.iter().map(|s| s.shape.total()).sum()
    }
}
