//! Indexes the guaranteed shares of a layout by worker.

use {
    crate::{
        connection::GuaranteedShare, prelude::*, process::membership::Announcement, version::Layout,
    },
    std::collections::BTreeMap,
};

/// The accelerators that a layout guarantees to accounts, by worker.
#[derive(Clone, Debug, Default)]
pub struct ShareIndex {
    shares: BTreeMap<UpstreamName, Vec<GuaranteedShare>>,
}

impl ShareIndex {
    /// Creates the index of a layout.
    pub fn from_layout(layout: &Layout) -> Self {
        let mut index = Self::default();
        for shape in &layout.shapes {
            for member in &shape.members {
                let shares = index.shares.entry(member.upstream.clone()).or_default();
                add_share(shares, &shape.account, member.accelerators);
            }
        }
        index
    }

    /// Returns the guaranteed shares on a worker, sorted by account.
    pub fn shares_on(
        &self,
        upstream: &UpstreamName,
    ) -> &[GuaranteedShare] {
        self.shares
            .get(upstream)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// Returns whether a guard announces exactly the shares of this layout.
    pub fn matches_announcement(
        &self,
        announcement: &Announcement,
    ) -> bool {
        self.shares_on(&announcement.upstream) == announcement.guaranteed.as_slice()
    }
}

/// Adds accelerators to an account's share and keeps the shares sorted by account.
fn add_share(
    shares: &mut Vec<GuaranteedShare>,
    account: &AccountName,
    accelerators: AcceleratorSet,
) {
    match shares.binary_search_by(|s| s.account.cmp(account)) {
        Ok(i) => shares[i].accelerators = shares[i].accelerators.union(accelerators),
        Err(i) => shares.insert(
            i,
            GuaranteedShare {
                account: account.clone(),
                accelerators,
            },
        ),
    }
}
