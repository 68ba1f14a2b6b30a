//! Divides places among client accounts.

use {
    crate::prelude::*,
    std::collections::{BTreeMap, VecDeque},
};

/// The places that client accounts hold of a limited number. An account may hold as many as are left
/// over, so a single one takes half of all at most, and there is room for the next one.
#[derive(Debug, Default)]
pub struct AccountShares {
    held: BTreeMap<AccountName, usize>,
    total: usize,
    /// The accounts that give back a place later, with when, the earliest first.
    leaving: VecDeque<(Millis, AccountName)>,
}

impl AccountShares {
    /// Takes one of `capacity` places for an account. Returns `false` if it may hold no more.
    pub fn take(
        &mut self,
        account: &AccountName,
        capacity: usize,
        now: Millis,
    ) -> bool {
        while let Some((_, account)) = self.leaving.pop_front_if(|(at, _)| *at <= now) {
            self.give_back(&account);
        }
        let held = self.held.get(account).copied().unwrap_or_default();
        if held >= capacity.saturating_sub(self.total) {
            return false;
        }
        *self.held.entry(account.clone()).or_default() += 1;
        self.total += 1;
        true
    }

    /// Gives back a place of an account.
    pub fn give_back(
        &mut self,
        account: &AccountName,
    ) {
        if let Some(held) = self.held.get_mut(account) {
            *held -= 1;
            self.total -= 1;
            if *held == 0 {
                self.held.remove(account);
            }
        }
    }

    /// Gives back a place of an account at `at`, which is never earlier than in the calls before.
    pub fn give_back_at(
        &mut self,
        account: AccountName,
        at: Millis,
    ) {
        self.leaving.push_back((at, account));
    }
}
