//! The order of the queue, and who may go before whom.

use {
    super::{AccountUsage, Estimate, WaitingJob},
    crate::{prelude::*, version::Class},
};

/// How much earlier a job comes for each time that it has waited as long as it is expected to
/// run, in powers of two of its size.
const AGEING: f64 = 1.0;

/// How many times as much use beyond its guarantee sets an account back by one level.
const USE_LEVEL: f64 = 8.0;

/// The least run time that a job is ordered by, in seconds.
const MIN_RUN_S: f64 = 1.0;

/// What the order of one job depends on.
#[derive(Clone, Copy, Debug)]
pub struct RankCx<'a> {
    /// The job.
    pub job: &'a WaitingJob,
    /// How long it has waited.
    pub waited: Duration,
    /// How long it is expected to run.
    pub estimate: Estimate,
    /// The use of its account.
    pub usage: AccountUsage,
    /// The account's guaranteed accelerators.
    pub guaranteed: u32,
    /// The account's share beyond guarantees.
    pub share: u32,
    /// How much completion time counts, from 0 to 1.
    pub completion_weight: f64,
    /// How much fragmentation counts, from 0 to 1.
    pub fragmentation_weight: f64,
}

/// The place of a job in the order; lower comes first.
#[derive(Clone, Debug, Default, PartialEq, PartialOrd)]
pub struct Rank {
    /// The class.
    pub class: u8,
    /// Whether the job goes beyond its account's guarantee.
    pub beyond: bool,
    /// The account's use beyond its guarantee for each share, in powers of eight.
    pub use_level: i32,
    /// The weighed size of the job, less its wait.
    pub size: f64,
    /// Since when it has waited.
    pub since: Millis,
    /// The job, so that no two ranks are equal.
    pub job: u64,
}

/// Which jobs may start while an earlier one waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Backfill {
    /// None.
    Never,
    /// Those that do not delay the earlier one, as far as estimates tell.
    BesideClaim,
    /// Any that fits.
    Always,
}

/// Orders the queue.
pub trait QueueRules {
    /// Returns the place of a job.
    fn rank(
        &self,
        cx: &RankCx<'_>,
    ) -> Rank;

    /// Tells which jobs may start while an earlier one waits.
    fn backfill(&self) -> Backfill;

    /// Tells whether work that may wait gives its place to work that cannot.
    fn gives_way(&self) -> bool;
}

/// Urgent jobs first and deferrable ones last; within a class the jobs within their account's
/// guarantee, then the accounts that have used least beyond theirs; then short work where
/// completion time counts, and large gangs where fragmentation counts. Waiting brings a job
/// forward.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeighedRules;

impl QueueRules for WeighedRules {
    fn rank(
        &self,
        cx: &RankCx<'_>,
    ) -> Rank {
        let gang = f64::from(cx.job.kind.gang.total_accelerators().max(1));
        let run_s = cx.estimate.typical.as_secs_f64().max(MIN_RUN_S);
        let aged = AGEING * cx.waited.as_secs_f64() / run_s;
        let size = cx.completion_weight * (run_s * gang).log2()
            - cx.fragmentation_weight * gang.log2()
            - aged;
        let used = cx.usage.beyond_hours / f64::from(cx.share.max(1));
        Rank {
            class: class_rank(cx.job.kind.class),
            beyond: cx.usage.running + cx.job.kind.gang.total_accelerators() > cx.guaranteed,
            use_level: (1.0 + used).log(USE_LEVEL) as i32,
            size,
            since: cx.job.since,
            job: cx.job.id.0,
        }
    }

    fn backfill(&self) -> Backfill {
        Backfill::BesideClaim
    }

    fn gives_way(&self) -> bool {
        true
    }
}

/// Returns the place of a class.
pub fn class_rank(class: Class) -> u8 {
    match class {
        Class::Urgent => 0,
        Class::Normal => 1,
        Class::Deferrable => 2,
    }
}
