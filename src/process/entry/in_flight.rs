//! How many requests of each account are in progress.

use {crate::prelude::*, std::collections::BTreeMap};

/// The requests in progress in one entry, by account.
#[derive(Debug, Default)]
pub struct InFlightLimits {
    counts: Rc<RefCell<BTreeMap<AccountName, u32>>>,
}

/// One request in progress, counted until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    account: AccountName,
    counts: Rc<RefCell<BTreeMap<AccountName, u32>>>,
}

impl InFlightLimits {
    /// Counts a request in; `None` when the account is at its limit.
    pub fn enter(
        &self,
        account: &AccountName,
        document: Rc<Document>,
    ) -> Option<InFlight> {
        let limit = document.accounts.get(account)?.max_in_flight;
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(account.clone()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(InFlight {
            account: account.clone(),
            counts: self.counts.clone(),
        })
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(count) = self.counts.borrow_mut().get_mut(&self.account) {
            *count -= 1;
        }
    }
}
