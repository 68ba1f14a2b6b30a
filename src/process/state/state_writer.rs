//! The task that appends records.

use {
    super::{
        Record, State,
        outbox::Waiting,
        pace::{Pace, backoff},
    },
    crate::{
        prelude::*,
        process::{clock::with_timeout, platform::LogError},
    },
    futures_util::future::{Either, select},
    std::pin::pin,
};

/// How long a lost answer is looked for on the log before the records are appended again.
const READ_BACK: Duration = Duration::from_secs(1);

/// The number and content of a record that is being appended.
struct Numbered {
    sequence: u64,
    data: Bytes,
}

impl State {
    /// Appends for ever what waits in the outbox: one append at a time, many records in each, at a
    /// bounded pace.
    pub(super) async fn write_log(&self) {
        let mut pace = Pace::default();
        loop {
            self.outbox.wait_for_record().await;
            let wait = pace.next_wait(self.clock.now());
            if !wait.is_zero() {
                self.clock.sleep(wait).await;
            }
            let batch = self.number_batch();
            self.write_batch(&batch).await;
            self.forget_abandoned();
        }
    }

    /// Takes the next batch out of the outbox and numbers its records.
    fn number_batch(&self) -> Vec<Numbered> {
        let mut numbered = Vec::new();
        for waiting in self.outbox.take_batch() {
            let record = Record {
                key: self.next_key(),
                writer: self.writer.clone(),
                body: waiting.body.clone(),
            };
            match postcard::to_stdvec(&record) {
                Ok(data) => {
                    let sequence = record.key.sequence;
                    self.in_flight.borrow_mut().insert(sequence, waiting);
                    let data = data.into();
                    numbered.push(Numbered { sequence, data });
                }
                Err(e) => tracing::error!(error = %e, "a record cannot be encoded"),
            }
        }
        numbered
    }

    /// Appends a batch again and again until the log has taken it, its records are folded here, or
    /// their callers have given up. Readers fold a record once, however often it stands there.
    async fn write_batch(
        &self,
        batch: &[Numbered],
    ) {
        let mut failures = 0;
        loop {
            let records = self.wanted_records(batch);
            if records.is_empty() {
                return;
            }
            let sent: Vec<u64> = records.iter().map(|r| r.sequence).collect();
            let doubtful = self.mark_sent(&sent);
            let data = records.iter().map(|r| r.data.clone()).collect();
            let settled = pin!(self.wait_until_settled(&sent));
            let answer = select(settled, self.log.append(data)).await;
            match answer {
                Either::Left(_) | Either::Right((Ok(_), _)) => return,
                Either::Right((Err(LogError::AnswerLost), settled)) => {
                    with_timeout(&*self.clock, READ_BACK, settled).await;
                }
                Either::Right((Err(LogError::RateLimited | LogError::Unavailable), _)) => {
                    self.mark_unsent(&doubtful);
                }
            }
            failures += 1;
            self.clock.sleep(backoff(self.epoch, failures)).await;
        }
    }

    /// Returns the records of a batch that callers still wait for.
    fn wanted_records<'a>(
        &self,
        batch: &'a [Numbered],
    ) -> Vec<&'a Numbered> {
        let in_flight = self.in_flight.borrow();
        let wanted = batch
            .iter()
            .filter(|r| in_flight.get(&r.sequence).is_some_and(Waiting::is_wanted));
        wanted.collect()
    }

    /// Marks records as perhaps on the log, and returns those that were not so marked before.
    fn mark_sent(
        &self,
        sequences: &[u64],
    ) -> Vec<u64> {
        let in_flight = self.in_flight.borrow();
        let first_time = sequences.iter().filter(|s| {
            let waiting = in_flight.get(s);
            waiting.is_some_and(|w| !w.ticket.maybe_on_log.replace(true))
        });
        first_time.copied().collect()
    }

    fn mark_unsent(
        &self,
        sequences: &[u64],
    ) {
        let in_flight = self.in_flight.borrow();
        for waiting in sequences.iter().filter_map(|s| in_flight.get(s)) {
            waiting.ticket.maybe_on_log.set(false);
        }
    }

    /// Waits until the records are folded here.
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

    fn forget_abandoned(&self) {
        self.in_flight.borrow_mut().retain(|_, w| w.is_wanted());
    }
}
