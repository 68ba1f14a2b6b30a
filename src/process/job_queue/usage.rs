//! The accelerators that accounts use, and their use in excess of guarantees.

use {
    super::RunningJob,
    crate::{prelude::*, version::Account},
    std::collections::BTreeMap,
};

/// The time after which use in excess of a guarantee counts half.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(6 * 3600);

const SECONDS_PER_HOUR: f64 = 3600.0;

/// The use of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountUsage {
    /// The accelerators that its running jobs hold.
    pub running_accelerators: u32,
    /// The accelerator hours that it has used in excess of its guarantee, with exponential decay.
    pub excess_accelerator_hours: f64,
}

/// The use of all accounts.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    accounts: BTreeMap<AccountName, AccountUsage>,
    updated_at: Millis,
}

impl Usage {
    /// Returns the use of an account.
    pub fn of(
        &self,
        account: &AccountName,
    ) -> AccountUsage {
        self.accounts.get(account).copied().unwrap_or_default()
    }

    /// Adds the use in excess of guarantees since the last update, at the accelerators recorded for
    /// that time, and replaces these by the accelerators of the running jobs.
    pub fn update<'a, I>(
        &mut self,
        now: Millis,
        document: &Document,
        running: I,
    ) where
        I: Iterator<Item = &'a RunningJob>,
    {
        let elapsed = now.since(self.updated_at);
        self.updated_at = now;
        let decay = 0.5_f64.powf(elapsed.as_secs_f64() / USAGE_HALF_LIFE.as_secs_f64());
        for (name, usage) in &mut self.accounts {
            let account = document.accounts.get(name);
            let guaranteed = account.map_or(0, Account::guaranteed_accelerators);
            let excess = usage.running_accelerators.saturating_sub(guaranteed);
            usage.excess_accelerator_hours *= decay;
            usage.excess_accelerator_hours +=
                f64::from(excess) * elapsed.as_secs_f64() / SECONDS_PER_HOUR;
            usage.running_accelerators = 0;
        }
        for job in running {
            self.add_running(&job.account, job.accelerators());
        }
    }

    /// Adds accelerators that were allocated to an account.
    pub fn add_running(
        &mut self,
        account: &AccountName,
        accelerators: u32,
    ) {
        let usage = self.accounts.entry(account.clone()).or_default();
        usage.running_accelerators += accelerators;
    }
}
