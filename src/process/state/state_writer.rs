//! Task that appends records to the log.

use {
    super::{
        Record, State,
        append_pacer::{AppendPacer, backoff_delay},
        outbox::PendingRecord,
    },
    crate::{
        prelude::*,
        process::{clock::with_timeout, platform::LogError},
    },
    futures_util::future::{Either, select},
    std::pin::pin,
};

/// How long the writer waits, after the answer to an append was lost, for its records to be read
/// back from the log before it appends them again.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Sequence number and encoded content of a record that is being appended.
struct NumberedRecord {
    sequence: u64,
    data: Bytes,
}

impl State {
    /// Appends the records of the outbox, one batch at a time and at a bounded rate; never returns.
    pub(super) async fn write_log(&self) {
        let mut pacer = AppendPacer::default();
        loop {
            self.outbox.wait_for_record().await;
            let wait = pacer.next_delay(self.clock.now());
            if !wait.is_zero() {
                self.clock.sleep(wait).await;
            }
            let batch = self.number_batch();
            self.write_batch(&batch).await;
            self.remove_abandoned();
        }
    }

    /// Removes the next batch from the outbox, and numbers and encodes its records.
    fn number_batch(&self) -> Vec<NumberedRecord> {
        let mut numbered = Vec::new();
        for pending in self.outbox.next_batch() {
            let record = Record {
                key: self.next_key(),
                writer: self.writer.clone(),
                body: pending.body.clone(),
            };
            match postcard::to_stdvec(&record) {
                Ok(data) => {
                    let sequence = record.key.sequence;
                    self.in_flight.borrow_mut().insert(sequence, pending);
                    let data = data.into();
                    numbered.push(NumberedRecord { sequence, data });
                }
                Err(e) => tracing::error!(error = %e, "cannot encode a record"),
            }
        }
        numbered
    }

    /// Appends a batch and retries until the log has confirmed it, its records are folded by this
    /// process, or their callers have stopped waiting. Readers fold a duplicate record only once.
    async fn write_batch(
        &self,
        batch: &[NumberedRecord],
    ) {
        let mut failures = 0;
        loop {
            let records = self.awaited_records(batch);
            if records.is_empty() {
                return;
            }
            let sent: Vec<u64> = records.iter().map(|r| r.sequence).collect();
            let newly_marked = self.mark_maybe_stored(&sent);
            let data = records.iter().map(|r| r.data.clone()).collect();
            let settled = pin!(self.wait_until_settled(&sent));
            let answer = select(settled, self.log.append(data)).await;
            match answer {
                Either::Left(_) | Either::Right((Ok(_), _)) => return,
                Either::Right((Err(LogError::AnswerLost), settled)) => {
                    with_timeout(&*self.clock, READ_BACK_TIMEOUT, settled).await;
                }
                Either::Right((Err(LogError::RateLimited | LogError::Unavailable), _)) => {
                    self.mark_not_stored(&newly_marked);
                }
            }
            failures += 1;
            self.clock.sleep(backoff_delay(self.epoch, failures)).await;
        }
    }

    /// Returns the records of a batch whose callers still wait.
    fn awaited_records<'a>(
        &self,
        batch: &'a [NumberedRecord],
    ) -> Vec<&'a NumberedRecord> {
        let in_flight = self.in_flight.borrow();
        let awaited = batch.iter().filter(|r| {
            in_flight
                .get(&r.sequence)
                .is_some_and(PendingRecord::is_awaited)
        });
        awaited.collect()
    }

    /// Marks records as possibly in the log, and returns those that were not marked before.
    fn mark_maybe_stored(
        &self,
        sequences: &[u64],
    ) -> Vec<u64> {
        let in_flight = self.in_flight.borrow();
        let first_time = sequences.iter().filter(|s| {
            let pending = in_flight.get(s);
            pending.is_some_and(|p| !p.status.may_be_in_log.replace(true))
        });
        first_time.copied().collect()
    }

    fn mark_not_stored(
        &self,
        sequences: &[u64],
    ) {
        let in_flight = self.in_flight.borrow();
        for pending in sequences.iter().filter_map(|s| in_flight.get(s)) {
            pending.status.may_be_in_log.set(false);
        }
    }

    /// Waits until the records are no longer in flight.
    async fn wait_until_settled(
        &self,
        sequences: &[u64],
    ) {
        loop {
            let changed = self.changed.listen();
            if self.are_settled(sequences) {
                return;
            }
            changed.await;
        }
    }

    fn are_settled(
        &self,
        sequences: &[u64],
    ) -> bool {
        let in_flight = self.in_flight.borrow();
        sequences.iter().all(|s| !in_flight.contains_key(s))
    }

    fn remove_abandoned(&self) {
        self.in_flight.borrow_mut().retain(|_, w| w.is_awaited());
    }
}
