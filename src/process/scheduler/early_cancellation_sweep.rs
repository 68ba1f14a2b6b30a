//! Drops the cancellations of jobs that were never stored.

use crate::{
    prelude::*,
    process::{
        clock::sleep_logging_delay,
        ledger::{Condition, KeyedRecord, LeaderElection, LedgerKey, StoreError},
    },
};

/// The interval at which the leader looks for cancellations to drop.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1000);

/// The most cancellations that are dropped at a time.
const MAX_DROPPED: usize = 500;

/// Drops early cancellations after their retention, within which their jobs may be stored late. It
/// holds only while the ledger ends where this entry has read it to, so that none is dropped whose
/// job has just been stored.
pub(super) async fn drop_early_cancellations(
    election: Rc<LeaderElection>,
    retention: Duration,
) {
    loop {
        sleep_logging_delay(&*election.clock, SWEEP_INTERVAL).await;
        let now = election.clock.now();
        let (expired, end) = election.ledger.view(|fold| {
            let expired = fold.expired_early_cancels(now, retention, MAX_DROPPED);
            (expired, fold.next_offset)
        });
        if expired.is_empty() {
            continue;
        }
        let keys = expired.iter().map(|id| LedgerKey::Cancel(*id));
        let tombstones: Vec<KeyedRecord> = keys.map(|key| key.tombstone()).collect();
        let condition = Condition::EndsAt(end);
        match election.ledger.append(&tombstones, condition).await {
            Ok(_) => tracing::info!(
                cancellations = tombstones.len(),
                retention_ms = Millis::from(retention).0,
                "cancellations of jobs that were never stored are dropped from the ledger"
            ),
            Err(StoreError::EndMoved) => {
                tracing::debug!(end, "the ledger has grown; cancellations are dropped later");
            }
            Err(e) => tracing::warn!(error = %e, "cancellations are not dropped yet"),
        }
    }
}
