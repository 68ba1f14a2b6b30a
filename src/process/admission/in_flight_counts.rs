//! Counts the requests in progress.

use {crate::prelude::*, std::collections::BTreeMap};

/// Numbers of one entry's requests in progress: in total, by account and by kind.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounts {
    total: u32,
    accounts: BTreeMap<AccountName, u32>,
    kinds: BTreeMap<KindName, u32>,
}

impl InFlightCounts {
    /// Returns the total number of requests in progress.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of an account's requests in progress.
    pub fn of_account(
        &self,
        account: &AccountName,
    ) -> u32 {
        self.accounts.get(account).copied().unwrap_or_default()
    }

    /// Returns the number of a kind's requests in progress.
    pub fn of_kind(
        &self,
        kind: &KindName,
    ) -> u32 {
        self.kinds.get(kind).copied().unwrap_or_default()
    }

    /// Counts a request as in progress.
    pub fn increment(
        &mut self,
        account: &AccountName,
        kind: &KindName,
    ) {
        self.total += 1;
        *self.accounts.entry(account.clone()).or_default() += 1;
        *self.kinds.entry(kind.clone()).or_default() += 1;
    }

    /// Counts a request as ended that was counted as in progress.
    pub fn decrement(
        &mut self,
        account: &AccountName,
        kind: &KindName,
    ) {
        self.total -= 1;
        if let Some(count) = self.accounts.get_mut(account) {
            *count -= 1;
        }
        if let Some(count) = self.kinds.get_mut(kind) {
            *count -= 1;
        }
    }
}
