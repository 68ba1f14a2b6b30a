//! The rules of the queue: order, backfilling and preemption.

use {
    super::{AccountUsage, Estimate, WaitingJob},
    crate::{prelude::*, version::Class},
};

/// How much the size in a job's rank, a logarithm to base two, falls for each expected run time that
/// the job has waited.
const AGEING_WEIGHT: f64 = 1.0;

/// The factor by which an account's excess use has to grow to raise its usage level by one.
const USAGE_LEVEL_BASE: f64 = 8.0;

/// The shortest run time that jobs are ordered by, in seconds.
const MIN_RUN_TIME_S: f64 = 1.0;

/// The properties that decide the rank of one job.
#[derive(Clone, Copy, Debug)]
pub struct RankCx<'a> {
    /// The job.
    pub job: &'a WaitingJob,
    /// How long it has waited.
    pub waited: Duration,
    /// How long it is expected to run.
    pub estimate: Estimate,
    /// What its account uses.
    pub usage: AccountUsage,
    /// The account's guaranteed accelerators.
    pub guaranteed_accelerators: u32,
    /// The account's share of what is not guaranteed.
    pub share: u32,
    /// The weight of completion time, from 0 to 1.
    pub completion_weight: f64,
    /// The weight of fragmentation, from 0 to 1.
    pub fragmentation_weight: f64,
}

/// The sort key of a job; lower comes first.
#[derive(Clone, Debug, Default, PartialEq, PartialOrd)]
pub struct Rank {
    /// The rank of its class, as [`class_rank`] returns it.
    pub class: u8,
    /// Whether the job would take its account beyond its guarantee.
    pub exceeds_guarantee: bool,
    /// The account's use in excess of its guarantee, divided by its share, on a logarithmic scale to
    /// base eight.
    pub usage_level: i32,
    /// The logarithm to base two of the job's weighted size, less its ageing.
    pub size: f64,
    /// The time since which it has waited.
    pub waiting_since: Millis,
    /// The job's number, so that no two ranks are equal.
    pub job: u64,
}

/// The jobs that may start while an earlier one waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Backfill {
    /// None.
    Never,
    /// Those that are not expected to delay a job that has a claim.
    WithoutDelay,
    /// Any that fit.
    Always,
}

/// Decides the order of the queue, and which jobs may overtake or preempt others.
pub trait QueueRules {
    /// Returns the rank of a job.
    fn rank(
        &self,
        cx: &RankCx<'_>,
    ) -> Rank;

    /// Returns which jobs may start while an earlier one waits.
    fn backfill(&self) -> Backfill;

    /// Returns whether deferrable jobs are preempted for urgent ones.
    fn preempts(&self) -> bool;
}

/// Orders jobs by class, urgent ones first and deferrable ones last. Within a class, jobs within
/// their account's guarantee come first, then those of the accounts that have used least in excess
/// of theirs. Among these, short jobs come first as far as completion time counts, and large gangs
/// as far as fragmentation counts; waiting moves a job forward.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeighedRules;

impl QueueRules for WeighedRules {
    fn rank(
        &self,
        cx: &RankCx<'_>,
    ) -> Rank {
        let gang = f64::from(cx.job.kind.gang.total_accelerators().max(1));
        let run_s = cx.estimate.typical.as_secs_f64().max(MIN_RUN_TIME_S);
        let ageing = AGEING_WEIGHT * cx.waited.as_secs_f64() / run_s;
        let size = cx.completion_weight * (run_s * gang).log2()
            - cx.fragmentation_weight * gang.log2()
            - ageing;
        let excess_per_share = cx.usage.excess_accelerator_hours / f64::from(cx.share.max(1));
        Rank {
            class: class_rank(cx.job.kind.class),
            exceeds_guarantee: cx.usage.running_accelerators
                + cx.job.kind.gang.total_accelerators()
                > cx.guaranteed_accelerators,
            usage_level: (1.0 + excess_per_share).log(USAGE_LEVEL_BASE) as i32,
            size,
            waiting_since: cx.job.waiting_since,
            job: cx.job.id.0,
        }
    }

    fn backfill(&self) -> Backfill {
        Backfill::WithoutDelay
    }

    fn preempts(&self) -> bool {
        true
    }
}

/// Returns the rank of a class; lower comes first.
pub fn class_rank(class: Class) -> u8 {
    match class {
        Class::Urgent => 0,
        Class::Normal => 1,
        Class::Deferrable => 2,
    }
}
