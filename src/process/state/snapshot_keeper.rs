//! Writes the state to the log again before the log drops the records that it came from.

use {
    super::{LogCondition, RecordBody, SnapshotRecord, State},
    crate::{
        prelude::*,
        process::{membership::rendezvous_rank, platform::Offset},
    },
    futures_util::future::join_all,
};

/// How often it is looked whether a snapshot is due.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);

/// How much later each further entry writes a snapshot that the one before it has not written.
const RANK_DELAY: Duration = Duration::from_secs(30);

/// The most records after the latest snapshot, which bounds what a new entry has to read.
const MAX_RECORDS_AFTER: u64 = 4000;

/// How long the parts of a snapshot may wait to be appended.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(60);

/// When snapshots are due.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotPolicy {
    /// How long the platform's log keeps a record.
    pub retention: Duration,
}

impl SnapshotPolicy {
    /// Returns the age at which the latest snapshot is followed by a new one.
    fn max_age(&self) -> Duration {
        self.retention / 3
    }
}

impl State {
    /// Writes snapshots for ever when they are due. The live entries take turns by rank, so that
    /// usually one of them writes; several do no harm.
    pub async fn keep_snapshots<F>(
        &self,
        policy: SnapshotPolicy,
        live_entries: F,
    ) where
        F: Fn() -> Vec<EntryName>,
    {
        let mut due_since: Option<(Offset, Millis)> = None;
        loop {
            self.clock.sleep(LOOK_INTERVAL).await;
            let basis = self.latest_snapshot();
            if !self.is_snapshot_due(policy) {
                due_since = None;
                continue;
            }
            let known = due_since.filter(|(of, _)| *of == basis);
            let (_, since) = *due_since.insert(known.unwrap_or((basis, self.clock.now())));
            let key = format!("snapshot {basis}");
            let rank = rendezvous_rank(&key, &self.writer, &live_entries());
            if self.clock.now().since(since) >= RANK_DELAY * rank {
                self.write_snapshot().await;
            }
        }
    }

    /// Writes the state as it is now; readers that have it already pass it over.
    pub async fn write_snapshot(&self) {
        let parts = match SnapshotRecord::of_fold(&self.fold()) {
            Ok(parts) => parts,
            Err(e) => return tracing::error!(error = %e, "the state cannot be encoded"),
        };
        let bodies = parts.into_iter().map(RecordBody::Snapshot);
        let appends = bodies.map(|b| self.append_within(b, SNAPSHOT_WAIT));
        let missing = join_all(appends)
            .await
            .iter()
            .filter(|r| r.is_err())
            .count();
        if missing > 0 {
            tracing::warn!(missing, "a snapshot was not written whole");
        }
    }

    /// Tells whether the log is read to its end and the latest snapshot is old, far behind, or
    /// near to the oldest record that the log keeps.
    fn is_snapshot_due(
        &self,
        policy: SnapshotPolicy,
    ) -> bool {
        let fold = self.fold();
        let view = self.view();
        if view.condition != LogCondition::Following || fold.next() < view.end {
            return false;
        }
        let Some(since_ms) = fold.snapshots().unsaved_since_ms() else {
            return false;
        };
        let age = self.clock.wall_time().since(Millis(since_ms));
        let upto = self.latest_snapshot().0;
        let behind = fold.next().0 - upto;
        let kept = view.end.0 - view.first.0;
        let safe = upto.saturating_sub(view.first.0);
        let near_first = view.first.0 > 0 && safe < kept / 2;
        age >= policy.max_age() || behind >= MAX_RECORDS_AFTER || near_first
    }

    fn latest_snapshot(&self) -> Offset {
        let latest = self.fold().snapshots().latest();
        latest.map(|l| l.upto).unwrap_or_default()
    }
}
