//! Estimates of run times from the jobs that finished.

use {
    crate::prelude::*,
    std::collections::{BTreeMap, VecDeque},
};

/// The most run times that are stored for each account and kind; the oldest are dropped.
const MAX_SAMPLES: usize = 64;

/// The fewest run times that an estimate is made from.
const MIN_SAMPLES: usize = 4;

/// The quantile of the run times that is the typical estimate.
const TYPICAL_QUANTILE: f64 = 0.5;

/// The quantile of the run times that is the upper estimate.
const UPPER_QUANTILE: f64 = 0.9;

/// The ratio of the upper estimate to a declared run time, which may be far too short.
const DECLARED_UPPER_FACTOR: u32 = 10;

/// How long a job is expected to run. It serves to order and backfill the queue; no limit is
/// enforced by it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// The median run time, or the declared one.
    pub typical: Duration,
    /// The run time that nine of ten jobs did not exceed, or a multiple of the declared one.
    pub upper: Duration,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SampleKey {
    kind: KindName,
    account: AccountName,
}

/// The run times of finished jobs, by account and kind.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    samples: BTreeMap<SampleKey, VecDeque<Duration>>,
}

impl Estimates {
    /// Records the run time of a finished job.
    pub fn record(
        &mut self,
        account: &AccountName,
        kind: &KindName,
        run_time: Duration,
    ) {
        let key = SampleKey {
            kind: kind.clone(),
            account: account.clone(),
        };
        let samples = self.samples.entry(key).or_default();
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(run_time);
    }

    /// Estimates the run time of a job from the account's jobs of that kind, or from all accounts'
    /// jobs of that kind while the account has too few, or from the declared run time while these
    /// are too few as well.
    pub fn run_time(
        &self,
        account: &AccountName,
        kind: &KindName,
        declared: Duration,
    ) -> Estimate {
        let samples = self.estimate_longer_than(account, kind, Duration::ZERO);
        samples.unwrap_or(Estimate {
            typical: declared,
            upper: declared * DECLARED_UPPER_FACTOR,
        })
    }

    /// Estimates how much longer a job runs that has run for `elapsed`, from the jobs that ran
    /// longer, or from [`run_time`](Self::run_time) when too few did.
    pub fn remaining_time(
        &self,
        account: &AccountName,
        kind: &KindName,
        declared: Duration,
        elapsed: Duration,
    ) -> Estimate {
        let total = self.estimate_longer_than(account, kind, elapsed);
        let total = total.unwrap_or_else(|| self.run_time(account, kind, declared));
        Estimate {
            typical: time_left(total.typical, elapsed),
            upper: time_left(total.upper, elapsed),
        }
    }

    /// Estimates the total run time of a job from the run times above `elapsed`.
    fn estimate_longer_than(
        &self,
        account: &AccountName,
        kind: &KindName,
        elapsed: Duration,
    ) -> Option<Estimate> {
        let of_kind = self.samples.iter().filter(|(key, _)| key.kind == *kind);
        let of_kind: Vec<_> = of_kind.collect();
        let own = of_kind.iter().filter(|(key, _)| key.account == *account);
        let own = own.flat_map(|(_, samples)| samples.iter());
        let all = of_kind.iter().flat_map(|(_, samples)| samples.iter());
        estimate_from(own, elapsed).or_else(|| estimate_from(all, elapsed))
    }
}

/// Returns how much of `total` is left. A job that has run longer than that is expected to run for
/// another half of its elapsed time.
fn time_left(
    total: Duration,
    elapsed: Duration,
) -> Duration {
    if total > elapsed {
        total - elapsed
    } else {
        elapsed / 2
    }
}

fn estimate_from<'a, I>(
    samples: I,
    elapsed: Duration,
) -> Option<Estimate>
where
    I: Iterator<Item = &'a Duration>,
{
    let mut longer: Vec<Duration> = samples.copied().filter(|s| *s > elapsed).collect();
    if longer.len() < MIN_SAMPLES {
        return None;
    }
    longer.sort();
    let quantile = |fraction: f64| longer[((longer.len() - 1) as f64 * fraction).ceil() as usize];
    Some(Estimate {
        typical: quantile(TYPICAL_QUANTILE),
        upper: quantile(UPPER_QUANTILE),
    })
}
