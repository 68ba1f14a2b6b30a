//! The shares of a layout by worker.

use {
    crate::{
        connection::GuaranteedShare, prelude::*, process::membership::Announcement, version::Layout,
    },
    std::collections::BTreeMap,
};

/// What accounts are guaranteed on each worker.
#[derive(Clone, Debug, Default)]
pub struct ShareIndex {
    shares: BTreeMap<UpstreamName, Vec<GuaranteedShare>>,
}

impl ShareIndex {
    /// Indexes a layout.
    pub fn of(layout: &Layout) -> Self {
        let mut index = Self::default();
        for shape in &layout.shapes {
            for member in &shape.members {
                let shares = index.shares.entry(member.upstream.clone()).or_default();
                add_share(shares, &shape.account, member.accelerators);
            }
        }
        index
    }

    /// Returns what accounts are guaranteed on a worker, by account.
    pub fn on(
        &self,
        upstream: &UpstreamName,
    ) -> &[GuaranteedShare] {
        self.shares
            .get(upstream)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// Tells whether a guard announces the shares that it should have.
    pub fn is_announced(
        &self,
        announcement: &Announcement,
    ) -> bool {
        self.on(&announcement.upstream) == announcement.guaranteed.as_slice()
    }
}

/// Adds accelerators to an account's share; shares stay in the order of accounts.
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
