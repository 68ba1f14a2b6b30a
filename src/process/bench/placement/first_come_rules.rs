//! Orders to compare with.

use crate::process::job_queue::{Backfill, QueueRules, Rank, RankCx, WeighedRules, class_rank};

/// Serves jobs within a class in the order in which they came; any that fits may start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FirstComeRules;

/// Orders as [`WeighedRules`] do, but no job passes one that waits for room.
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
