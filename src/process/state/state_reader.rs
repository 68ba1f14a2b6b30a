//! Task that reads the log.

use {
    super::{
        Fold, LogCondition, Record, RecordBody, RecordKey, RecordOutcome, State,
        append_pacer::backoff_delay, outbox::PendingRecord, snapshot_record::SnapshotAssembler,
    },
    crate::{
        prelude::*,
        process::platform::{Batch, LogRecord, Offset},
    },
};

/// How long one read of the log waits for a new record.
const LONG_POLL_WAIT: Duration = Duration::from_secs(20);

/// Delay before the log is read again after it was replaced or a gap could not be repaired.
const REPAIR_RETRY_DELAY: Duration = Duration::from_secs(1);

impl State {
    /// Reads the log and folds its records; never returns. A new process first loads the state of a
    /// peer, which is faster than reading the whole log and works while the log is down.
    pub(super) async fn read_log(&self) {
        let mut failures = 0;
        self.load_peer_state().await;
        loop {
            let from = self.fold.borrow().next_offset();
            match self.log.read(from, LONG_POLL_WAIT).await {
                Ok(batch) => {
                    failures = 0;
                    self.apply_batch(from, batch).await;
                }
                Err(_) => {
                    failures += 1;
                    self.set_condition(LogCondition::Unreachable);
                    self.load_peer_state().await;
                    self.clock.sleep(backoff_delay(self.epoch, failures)).await;
                }
            }
        }
    }

    async fn apply_batch(
        &self,
        from: Offset,
        batch: Batch,
    ) {
        let mut view = self.log_view.get();
        view.first = batch.first;
        view.end = batch.end;
        view.last_answer_at = self.clock.now();
        self.log_view.set(view);
        if batch.end < from {
            tracing::error!(
                read_to = %from,
                log_end = %batch.end,
                "the log ends before the offset read so far; it was replaced"
            );
            self.set_condition(LogCondition::Replaced);
            self.clock.sleep(REPAIR_RETRY_DELAY).await;
        } else if batch.first > from {
            tracing::warn!(
                read_to = %from,
                log_first = %batch.first,
                "the log dropped records before they were read"
            );
            self.set_condition(LogCondition::Gap);
            self.repair_gap(batch.first).await;
        } else {
            self.set_condition(LogCondition::Following);
            self.fold_records(&batch.records);
        }
    }

    fn fold_records(
        &self,
        records: &[LogRecord],
    ) {
        for record in records {
            let folded = self.fold.borrow_mut().apply(record);
            if let Some((key, outcome)) = folded {
                self.settle(key, outcome);
            }
        }
        if !records.is_empty() {
            self.changed.notify(usize::MAX);
        }
    }

    /// Sends the outcome of a record of this process to its caller. Earlier records of this process
    /// that are still in flight can no longer take effect, and their callers get
    /// [`StateError::NotRecorded`](super::StateError::NotRecorded).
    fn settle(
        &self,
        key: RecordKey,
        outcome: RecordOutcome,
    ) {
        if key.epoch != self.epoch {
            return;
        }
        let mut in_flight = self.in_flight.borrow_mut();
        let later = in_flight.split_off(&key.sequence);
        for superseded in std::mem::replace(&mut *in_flight, later).into_values() {
            superseded.status.may_be_in_log.set(false);
        }
        if let Some(pending) = in_flight.remove(&key.sequence) {
            send_receipt(pending, key, outcome);
        }
    }

    /// Loads the state of a peer that has read further.
    async fn load_peer_state(&self) {
        let next = self.fold.borrow().next_offset();
        let Some(bytes) = self.peers.fetch(next).await else {
            return;
        };
        match Fold::from_bytes(&bytes) {
            Ok(fold) => self.adopt(fold),
            Err(e) => tracing::warn!(error = %e, "cannot decode the state of a peer"),
        }
    }

    /// Searches for a state at or after the first retained offset: from peers, then in the
    /// snapshots of the log.
    async fn repair_gap(
        &self,
        first: Offset,
    ) {
        self.load_peer_state().await;
        if self.fold.borrow().next_offset() >= first {
            return;
        }
        match self.find_snapshot(first).await {
            Some(fold) => self.adopt(fold),
            None => self.clock.sleep(REPAIR_RETRY_DELAY).await,
        }
    }

    /// Reads the log from an offset on until a complete snapshot is found that covers all records
    /// which the log has dropped.
    async fn find_snapshot(
        &self,
        first: Offset,
    ) -> Option<Fold> {
        let mut from = first;
        let mut assembler = SnapshotAssembler::default();
        loop {
            let batch = self.log.read(from, Duration::ZERO).await.ok()?;
            from = Offset(batch.records.last()?.offset.0 + 1);
            let parts = batch.records.iter().filter_map(read_snapshot_part);
            for (key, part) in parts {
                let complete = assembler.add(key.epoch, part);
                if let Some(fold) = complete.filter(|f| f.next_offset() >= batch.first) {
                    return Some(fold);
                }
            }
        }
    }

    /// Replaces the fold by a loaded one, unless this process has read as far already.
    fn adopt(
        &self,
        fold: Fold,
    ) {
        if fold.next_offset() <= self.fold.borrow().next_offset() {
            return;
        }
        tracing::info!(
            read_to = %fold.next_offset(),
            version = %fold.version(),
            "loaded the state from a peer or snapshot"
        );
        *self.fold.borrow_mut() = fold;
        self.settle_adopted();
        self.changed.notify(usize::MAX);
    }

    /// Settles the records of this process that the adopted state has passed. The state contains
    /// the outcome only of accepted documents. Callers of other records get an error, which is
    /// [`StateError::Unknown`](super::StateError::Unknown) if the record may be in the log.
    fn settle_adopted(&self) {
        let fold = self.fold.borrow();
        let mut in_flight = self.in_flight.borrow_mut();
        let passed = in_flight.extract_if(.., |sequence, _| {
            fold.has_folded(RecordKey {
                epoch: self.epoch,
                sequence: *sequence,
            })
        });
        for (sequence, pending) in passed {
            let key = RecordKey {
                epoch: self.epoch,
                sequence,
            };
            if let Some(version) = fold.accepted_version(key) {
                send_receipt(pending, key, RecordOutcome::Accepted(version));
            }
        }
    }

    fn set_condition(
        &self,
        condition: LogCondition,
    ) {
        let mut view = self.log_view.get();
        if view.condition != condition {
            tracing::info!(from = %view.condition, to = %condition, "condition of the log changed");
            view.condition = condition;
            self.log_view.set(view);
        }
    }
}

/// Decodes a record and returns the part of a snapshot, if it holds one.
fn read_snapshot_part(record: &LogRecord) -> Option<(RecordKey, super::SnapshotRecord)> {
    let record = postcard::from_bytes::<Record>(&record.data).ok()?;
    match record.body {
        RecordBody::Snapshot(part) => Some((record.key, part)),
        _ => None,
    }
}

/// Sends the outcome of a record to its caller, unless the caller has stopped waiting.
fn send_receipt(
    pending: PendingRecord,
    key: RecordKey,
    outcome: RecordOutcome,
) {
    if pending.reply.send((key, outcome)).is_err() {
        tracing::debug!(
            ?key,
            "the caller no longer waits for the outcome of its record"
        );
    }
}
