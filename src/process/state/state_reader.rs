//! The task that reads the log.

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

/// How long one read waits for a record.
const LONG_POLL_WAIT: Duration = Duration::from_secs(20);

/// The pause before a gap that could not be repaired, or a replaced log, is looked at again.
const REPAIR_RETRY_DELAY: Duration = Duration::from_secs(1);

impl State {
    /// Reads the log for ever and folds what it brings. A new process first takes the state of a
    /// peer over, which is faster than reading the whole log and works without the log.
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
            tracing::error!(read_to = %from, log_end = %batch.end, "the log was replaced");
            self.set_condition(LogCondition::Replaced);
            self.clock.sleep(REPAIR_RETRY_DELAY).await;
        } else if batch.first > from {
            tracing::warn!(read_to = %from, log_first = %batch.first, "records were missed");
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

    /// Tells the caller of an own record what became of it. Own records below it that are still
    /// open can no longer take effect, and their callers are told that nothing was recorded.
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
        for overtaken in std::mem::replace(&mut *in_flight, later).into_values() {
            overtaken.status.may_be_in_log.set(false);
        }
        if let Some(waiting) = in_flight.remove(&key.sequence) {
            send_receipt(waiting, key, outcome);
        }
    }

    /// Takes over the state of a peer that has read further.
    async fn load_peer_state(&self) {
        let next = self.fold.borrow().next_offset();
        let Some(bytes) = self.peers.fetch(next).await else {
            return;
        };
        match Fold::from_bytes(&bytes) {
            Ok(fold) => self.adopt(fold),
            Err(e) => tracing::warn!(error = %e, "a peer's state cannot be read"),
        }
    }

    /// Looks for the state at or after the first kept offset, with peers and then on the log.
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

    /// Reads the log from an offset on until a whole snapshot has been read from which the log can
    /// be followed without a gap.
    async fn find_snapshot(
        &self,
        first: Offset,
    ) -> Option<Fold> {
        let mut from = first;
        let mut assembly = SnapshotAssembler::default();
        loop {
            let batch = self.log.read(from, Duration::ZERO).await.ok()?;
            from = Offset(batch.records.last()?.offset.0 + 1);
            let parts = batch.records.iter().filter_map(read_snapshot_part);
            for (key, part) in parts {
                let whole = assembly.add(key.epoch, part);
                if let Some(fold) = whole.filter(|f| f.next_offset() >= batch.first) {
                    return Some(fold);
                }
            }
        }
    }

    /// Takes a state over unless this process has read as far.
    fn adopt(
        &self,
        fold: Fold,
    ) {
        if fold.next_offset() <= self.fold.borrow().next_offset() {
            return;
        }
        tracing::info!(read_to = %fold.next_offset(), version = %fold.version(), "took a state over");
        *self.fold.borrow_mut() = fold;
        self.settle_adopted();
        self.changed.notify(usize::MAX);
    }

    /// Settles own records that the adopted state has passed. What became of them is known only of
    /// documents; other callers are told that it is unknown.
    fn settle_adopted(&self) {
        let fold = self.fold.borrow();
        let mut in_flight = self.in_flight.borrow_mut();
        let passed = in_flight.extract_if(.., |sequence, _| {
            fold.has_folded(RecordKey {
                epoch: self.epoch,
                sequence: *sequence,
            })
        });
        for (sequence, waiting) in passed {
            let key = RecordKey {
                epoch: self.epoch,
                sequence,
            };
            if let Some(version) = fold.accepted_version(key) {
                send_receipt(waiting, key, RecordOutcome::Accepted(version));
            }
        }
    }

    fn set_condition(
        &self,
        condition: LogCondition,
    ) {
        let mut view = self.log_view.get();
        if view.condition != condition {
            tracing::info!(from = %view.condition, to = %condition, "the log's condition changed");
            view.condition = condition;
            self.log_view.set(view);
        }
    }
}

/// Returns the part of a snapshot that a record holds.
fn read_snapshot_part(record: &LogRecord) -> Option<(RecordKey, super::SnapshotRecord)> {
    let record = postcard::from_bytes::<Record>(&record.data).ok()?;
    match record.body {
        RecordBody::Snapshot(part) => Some((record.key, part)),
        _ => None,
    }
}

/// Tells a writer what became of its record, unless it has stopped waiting.
fn send_receipt(
    waiting: PendingRecord,
    key: RecordKey,
    outcome: RecordOutcome,
) {
    if waiting.reply.send((key, outcome)).is_err() {
        tracing::debug!(?key, "nobody waits any more for the outcome of a record");
    }
}
