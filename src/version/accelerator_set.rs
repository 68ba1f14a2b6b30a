//! Sets of accelerators of one worker.

use {
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// A set of at most 64 accelerators of one worker, stored as a bit mask over their indexes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[debug("{_0:#b}")]
pub struct AcceleratorSet(u64);

impl AcceleratorSet {
    /// The maximum number of accelerators of one worker.
    pub const MAX_ACCELERATORS: u32 = 64;

    /// Returns the empty set.
    pub fn empty() -> Self {
        Self(0)
    }

    /// Returns the set of the first `count` accelerators.
    pub fn first(count: u32) -> Self {
        if count >= Self::MAX_ACCELERATORS {
            Self(u64::MAX)
        } else {
            Self((1 << count) - 1)
        }
    }

    /// Returns the number of accelerators in the set.
    pub fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns whether every accelerator of `other` is in this set.
    pub fn contains(
        self,
        other: Self,
    ) -> bool {
        self.0 & other.0 == other.0
    }

    /// Returns whether the two sets have an accelerator in common.
    pub fn intersects(
        self,
        other: Self,
    ) -> bool {
        self.0 & other.0 != 0
    }

    /// Returns the accelerators of this set that are not in `other`.
    pub fn without(
        self,
        other: Self,
    ) -> Self {
        Self(self.0 & !other.0)
    }

    /// Returns the accelerators that are in at least one of the two sets.
    pub fn union(
        self,
        other: Self,
    ) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns the accelerators that are in both sets.
    pub fn intersection(
        self,
        other: Self,
    ) -> Self {
        Self(self.0 & other.0)
    }

    /// Returns the indexes of the accelerators, in ascending order.
    pub fn indexes(self) -> impl Iterator<Item = u32> {
        (0..Self::MAX_ACCELERATORS).filter(move |i| self.0 >> i & 1 == 1)
    }

    /// Returns `count` accelerators of the set, or `None` if it has fewer.
    ///
    /// They come from the shortest run of consecutive indexes that is long enough, which leaves
    /// longer runs intact; without such a run they are the ones with the lowest indexes.
    pub fn select(
        self,
        count: u32,
    ) -> Option<Self> {
        if self.len() < count {
            return None;
        }
        self.best_fit_run(count)
            .or_else(|| Some(self.lowest(count)))
    }

    /// Returns the first `count` accelerators of the shortest run of at least `count` consecutive
    /// indexes.
    fn best_fit_run(
        self,
        count: u32,
    ) -> Option<Self> {
        let mut best: Option<(u32, u32)> = None;
        let mut start = 0;
        while start < Self::MAX_ACCELERATORS {
            let run = (self.0 >> start).trailing_ones();
            if run >= count && best.is_none_or(|(len, _)| run < len) {
                best = Some((run, start));
            }
            start += run + 1;
        }
        best.map(|(_, start)| Self(Self::first(count).0 << start))
    }

    /// Returns the `count` accelerators with the lowest indexes.
    fn lowest(
        self,
        count: u32,
    ) -> Self {
        let bits = self.indexes().take(count as usize).map(|i| 1 << i);
        Self(bits.sum())
    }
}
