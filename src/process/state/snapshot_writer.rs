//! Writes snapshots of the state to the log before the log drops the records that they cover.

use {
    super::{LogCondition, RecordBody, SnapshotRecord, State},
    crate::{
        prelude::*,
        process::{membership::rendezvous_rank, platform::Offset},
    },
    futures_util::future::join_all,
};

/// Interval between checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// How much longer each entry waits than the entry of the next lower rank before it writes a due
/// snapshot itself.
const DELAY_PER_RANK: Duration = Duration::from_secs(30);

/// Number of records after the latest snapshot at which a new one is due; bounds what a new entry
/// has to read.
const MAX_RECORDS_AFTER_SNAPSHOT: u64 = 4000;

/// How long the append of a snapshot's parts may take.
const SNAPSHOT_APPEND_TIMEOUT: Duration = Duration::from_secs(60);

/// Policy that decides when snapshots are due.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotPolicy {
    /// How long the platform's log retains a record.
    pub retention: Duration,
}

impl SnapshotPolicy {
    /// Returns the age of the latest snapshot at which a new one is due.
    fn max_age(&self) -> Duration {
        self.retention / 3
    }
}

impl State {
    /// Writes snapshots when they are due; never returns. The live entries are ranked, and each
    /// waits in proportion to its rank, so that usually only one of them writes. Duplicate
    /// snapshots are harmless.
    pub async fn write_due_snapshots<F>(
        &self,
        policy: SnapshotPolicy,
        live_entries: F,
    ) where
        F: Fn() -> Vec<EntryName>,
    {
        let mut due_since: Option<(Offset, Millis)> = None;
        loop {
            self.clock.sleep(CHECK_INTERVAL).await;
            let snapshot_offset = self.latest_snapshot_offset();
            if !self.is_snapshot_due(policy) {
                due_since = None;
                continue;
            }
            let unchanged = due_since.filter(|(offset, _)| *offset == snapshot_offset);
            let (_, since) =
                *due_since.insert(unchanged.unwrap_or((snapshot_offset, self.clock.now())));
            let key = format!("snapshot {snapshot_offset}");
            let rank = rendezvous_rank(&key, &self.writer, &live_entries());
            if self.clock.now().since(since) >= DELAY_PER_RANK * rank {
                self.write_snapshot().await;
            }
        }
    }

    /// Writes a snapshot of the current state, which readers that follow the log ignore.
    pub async fn write_snapshot(&self) {
        let parts = match SnapshotRecord::split_fold(&self.fold()) {
            Ok(parts) => parts,
            Err(e) => return tracing::error!(error = %e, "cannot encode the state"),
        };
        let bodies = parts.into_iter().map(RecordBody::Snapshot);
        let appends = bodies.map(|b| self.append_within(b, SNAPSHOT_APPEND_TIMEOUT));
        let missing = join_all(appends)
            .await
            .iter()
            .filter(|r| r.is_err())
            .count();
        if missing > 0 {
            tracing::warn!(missing, "a snapshot was not written whole");
        }
    }

    /// Returns whether the log is read to its end and the latest snapshot is too old, lags too many
    /// records, or covers less than half of the retained records after the log has dropped some: a
    /// snapshot that ends before the oldest retained record leaves a gap.
    fn is_snapshot_due(
        &self,
        policy: SnapshotPolicy,
    ) -> bool {
        let fold = self.fold();
        let view = self.log_view();
        if view.condition != LogCondition::Following || fold.next_offset() < view.end {
            return false;
        }
        let Some(since_ms) = fold.snapshots().unsaved_since_ms() else {
            return false;
        };
        let age = self.clock.wall_time().since(Millis(since_ms));
        let upto = self.latest_snapshot_offset().0;
        let lag = fold.next_offset().0 - upto;
        let retained = view.end.0 - view.first.0;
        let covered = upto.saturating_sub(view.first.0);
        let is_near_first = view.first.0 > 0 && covered < retained / 2;
        age >= policy.max_age() || lag >= MAX_RECORDS_AFTER_SNAPSHOT || is_near_first
    }

    fn latest_snapshot_offset(&self) -> Offset {
        let latest = self.fold().snapshots().latest();
        latest.map(|l| l.upto).unwrap_or_default()
    }
}
