//! How long jobs run, learned from those that finished.

use {
    crate::prelude::*,
    std::collections::{BTreeMap, VecDeque},
};

/// The most run times that are kept of one kind of one account; older ones are forgotten.
const MAX_SAMPLES: usize = 64;

/// The fewest run times that an estimate rests on.
const MIN_SAMPLES: usize = 4;

/// The part of the run times that a typical one is not below.
const TYPICAL_QUANTILE: f64 = 0.5;

/// The part of the run times that an upper estimate is not below.
const UPPER_QUANTILE: f64 = 0.9;

/// By how much a declared run time may be too short.
const DECLARED_UPPER_FACTOR: u32 = 10;

/// How long a job is expected to run. It orders and fills the queue; nothing is promised by it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Half of such jobs have run no longer than this.
    pub typical: Duration,
    /// Nine of ten such jobs have run no longer than this.
    pub upper: Duration,
}

/// Whose jobs of which kind.
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
    /// Learns the run time of a job that finished.
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

    /// Estimates the run time of a job from the account's jobs of that kind, or, while these are
    /// few, from all accounts' jobs of that kind, or from what is declared.
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

    /// Estimates how long a job that has run for `elapsed` runs on, from those jobs that ran
    /// longer.
    pub fn remaining_time(
        &self,
        account: &AccountName,
        kind: &KindName,
        declared: Duration,
        elapsed: Duration,
    ) -> Estimate {
        let whole = self.estimate_longer_than(account, kind, elapsed);
        let whole = whole.unwrap_or_else(|| self.run_time(account, kind, declared));
        Estimate {
            typical: time_left(whole.typical, elapsed),
            upper: time_left(whole.upper, elapsed),
        }
    }

    /// Estimates from the run times above `elapsed`.
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

/// Returns how much of `whole` is left; a job that has run longer than expected is expected to
/// run half as long again.
fn time_left(
    whole: Duration,
    elapsed: Duration,
) -> Duration {
    if whole > elapsed {
        whole - elapsed
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
    let quantile = |part: f64| longer[((longer.len() - 1) as f64 * part).ceil() as usize];
    Some(Estimate {
        typical: quantile(TYPICAL_QUANTILE),
        upper: quantile(UPPER_QUANTILE),
    })
}
