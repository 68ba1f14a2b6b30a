//! Queue rules that serve as baselines for [`WeighedRules`].

use crate::process::job_queue::{Backfill, QueueRules, Rank, RankCx, WeighedRules, class_rank};

/// Serves the jobs of a class in the order of their arrival. Any job that fits may start, and no
/// job is preempted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FirstComeRules;

/// Orders jobs as [`WeighedRules`] do, but without backfill: no job starts before an earlier one
/// that waits for capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NoBackfillRules;

impl QueueRules for FirstComeRules {
    fn rank(
        &self,
        cx: &RankCx<'_>,
    ) -> Rank {
        Rank {
            class: class_rank(cx.job.kind.class),
            waiting_since: cx.job.waiting_since,
            job: cx.job.id.0,
            ..Rank::default()
        }
    }

    fn backfill(&self) -> Backfill {
        Backfill::Always
    }

    fn preempts(&self) -> bool {
        false
    }
}

impl QueueRules for NoBackfillRules {
    fn rank(
        &self,
        cx: &RankCx<'_>,
    ) -> Rank {
        WeighedRules.rank(cx)
    }

    fn backfill(&self) -> Backfill {
        Backfill::Never
    }

    fn preempts(&self) -> bool {
        true
    }
}
