//! Records the progress of jobs on the ledger and renews the leader's term.

use {
    super::{ProgressBatch, ProgressQueue, scheduler_term::SchedulerTerm},
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{
                Condition, Fence, KeyedRecord, LEADER_RENEWAL_INTERVAL, LeaderElection, LedgerKey,
                LedgerRecord, StoreError, append_size,
            },
        },
    },
};

/// The most ended jobs that are dropped with one renewal; far fewer can end between two renewals.
const MAX_DROPPED_JOBS_PER_RENEWAL: usize = 50;

/// The most tombstones of ended jobs in one renewal, some 20 KB. A job with more records is dropped
/// by several renewals.
const MAX_JOB_TOMBSTONES_PER_RENEWAL: usize = 500;

/// The size limit of the records of guards in one renewal, in bytes; the others follow with the next
/// one.
const MAX_MEMBER_BYTES_PER_RENEWAL: usize = 64 << 10;

/// The size limit of progress that shares an append with a renewal, in bytes. It saves most calls to
/// the store, and a renewal does not wait for the transfer of more.
const MAX_SHARED_BATCH_BYTES: usize = 64 << 10;

/// How long to wait for further changes before an append.
const GROUPING_DELAY: Duration = Duration::from_millis(10);

/// The delay before an append without a definite result is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// An append that is known to be stored.
pub(super) struct ConfirmedAppend {
    /// The offset of the first record.
    pub(super) offset: u64,
    /// When the first attempt was sent. A repeated attempt gets the answer of the first one, so it
    /// shows nothing about the time at which it was sent itself.
    pub(super) sent_at: Millis,
}

/// The result of an append.
pub(super) enum AppendResult {
    /// The records are stored.
    Stored(ConfirmedAppend),
    /// The store accepts no append of these records.
    Rejected(String),
    /// Another entry is the leader.
    Superseded,
}

/// Appends records under the fence of one term, one append at a time.
pub(super) struct FencedWriter {
    term: u64,
    sequence: u64,
}

impl FencedWriter {
    /// Creates the writer of a term.
    pub(super) fn new(term: u64) -> Self {
        Self { term, sequence: 0 }
    }

    /// Appends records and retries until they are known to be stored, the store rejects them for
    /// good, or another entry is the leader.
    pub(super) async fn append(
        &mut self,
        election: &LeaderElection,
        records: &[KeyedRecord],
    ) -> AppendResult {
        self.sequence += 1;
        let sent_at = election.clock.now();
        let mut may_be_stored = false;
        loop {
            let fence = Fence {
                epoch: self.term,
                sequence: self.sequence,
            };
            match election
                .ledger
                .append(records, Condition::Fenced(fence))
                .await
            {
                Ok(offset) => return AppendResult::Stored(ConfirmedAppend { offset, sent_at }),
                Err(StoreError::Fenced) => return AppendResult::Superseded,
                Err(StoreError::Rejected(why)) => {
                    // The number is used again unless an attempt without an answer may have used it;
                    // the store would take the next append for a repetition then.
                    if !may_be_stored {
                        self.sequence -= 1;
                    }
                    return AppendResult::Rejected(why);
                }
                Err(StoreError::OutOfSequence(expected)) => {
                    tracing::warn!(expected, sequence = self.sequence, "append out of sequence");
                    self.sequence = expected;
                }
                Err(e) => {
                    may_be_stored |= !matches!(e, StoreError::Refused(_));
                    tracing::warn!(term = self.term, error = %e, records = records.len(), "progress is not recorded yet");
                    election.clock.sleep(RETRY_DELAY).await;
                }
            }
            if !election.is_current_term(self.term) {
                return AppendResult::Superseded;
            }
        }
    }
}

/// Records progress and renews the term until another entry is the leader.
pub(super) async fn write_progress(
    shared: Rc<SchedulerTerm>,
    election: Rc<LeaderElection>,
    writer: FencedWriter,
    retention: Duration,
) {
    let queue = ProgressQueue::new(election.ledger.limits());
    let mut progress_writer = ProgressWriter {
        renewed_at: Some(shared.clock.now()),
        shared,
        election,
        writer,
        queue,
        retention,
        expired_guards: Vec::new(),
        renews_only: false,
    };
    while progress_writer.write_next().await {}
}

/// The records of a renewal, which come before those of jobs.
#[derive(Default)]
struct Renewal {
    records: Vec<KeyedRecord>,
    /// The expired guards that it deregisters.
    expired_guards: Vec<UpstreamName>,
}

/// What one term records.
struct ProgressWriter {
    shared: Rc<SchedulerTerm>,
    election: Rc<LeaderElection>,
    writer: FencedWriter,
    queue: ProgressQueue,
    retention: Duration,
    /// When the last renewal was sent; `None` if the next one is due at once.
    renewed_at: Option<Millis>,
    /// The expired guards whose deregistration the store has rejected together with other records.
    expired_guards: Vec<UpstreamName>,
    /// Whether the next renewal holds nothing else, because the store has rejected the one before.
    renews_only: bool,
}

impl ProgressWriter {
    /// Appends what is due, or waits for it. Returns `false` once another entry is the leader.
    async fn write_next(&mut self) -> bool {
        let shared = self.shared.clone();
        let recording_due = shared.recording_due.listen();
        let batch = self.election.ledger.view(|fold| {
            let scheduler = &mut *shared.scheduler.borrow_mut();
            self.queue.next_batch(scheduler, fold)
        });
        let now = shared.clock.now();
        let is_renewal_due = self
            .renewed_at
            .is_none_or(|at| now.since(at) >= LEADER_RENEWAL_INTERVAL);
        if batch.is_empty() && !is_renewal_due {
            with_timeout(&*shared.clock, LEADER_RENEWAL_INTERVAL / 2, recording_due).await;
            shared.clock.sleep(GROUPING_DELAY).await;
            return true;
        }
        let renewal = is_renewal_due.then(|| self.renewal(now));
        let is_shared = batch.bytes() <= MAX_SHARED_BATCH_BYTES && !self.queue.is_isolating();
        match renewal {
            Some(renewal) if !is_shared => {
                let is_leading = self.append(renewal, ProgressBatch::default()).await;
                is_leading && self.append(Renewal::default(), batch).await
            }
            renewal => self.append(renewal.unwrap_or_default(), batch).await,
        }
    }

    /// Appends a renewal, if it has records, and a batch of progress. Returns `false` if another
    /// entry is the leader.
    async fn append(
        &mut self,
        renewal: Renewal,
        batch: ProgressBatch,
    ) -> bool {
        let Renewal {
            mut records,
            expired_guards,
        } = renewal;
        let is_renewal = !records.is_empty();
        records.extend(batch.records().cloned());
        if records.is_empty() {
            return true;
        }
        match self.writer.append(&self.election, &records).await {
            AppendResult::Stored(appended) => {
                self.renews_only &= !is_renewal;
                let end = appended.offset + records.len() as u64;
                self.apply_stored(&appended, end, &expired_guards, batch);
                true
            }
            AppendResult::Rejected(why) => {
                self.expired_guards.extend(expired_guards);
                self.apply_rejected(&why, &records, is_renewal, batch).await;
                true
            }
            AppendResult::Superseded => {
                self.shared
                    .end("another entry has appended under a higher term");
                false
            }
        }
    }

    fn apply_stored(
        &mut self,
        appended: &ConfirmedAppend,
        end: u64,
        expired_guards: &[UpstreamName],
        batch: ProgressBatch,
    ) {
        let shared = &self.shared;
        {
            let mut scheduler = shared.scheduler.borrow_mut();
            scheduler.confirm_leadership(appended.sent_at);
            scheduler.confirm_deregistrations(expired_guards, end);
        }
        for (id, change) in self.queue.confirm(batch) {
            let mut scheduler = shared.scheduler.borrow_mut();
            scheduler.mark_recorded(id, change);
            let job = scheduler.jobs.get(&id);
            if job.is_none_or(|j| j.progress.phase.is_final()) {
                self.queue.remove_ended(id);
            }
        }
        shared.acknowledge_recorded_ends();
        shared.pass_due.notify(usize::MAX);
    }

    /// Handles an append that the store never accepts. It is not repeated as it is: a renewal is
    /// made again without the other records, and the jobs are appended one by one.
    async fn apply_rejected(
        &mut self,
        why: &str,
        records: &[KeyedRecord],
        is_renewal: bool,
        batch: ProgressBatch,
    ) {
        let bytes = append_size(records);
        tracing::error!(
            term = self.shared.term,
            why,
            records = records.len(),
            bytes,
            is_renewal,
            "the store rejects an append"
        );
        if is_renewal {
            self.renewed_at = None;
            self.renews_only = batch.is_empty();
            self.shared.clock.sleep(RETRY_DELAY).await;
        }
        if let Some(job) = self.queue.reject(batch, !is_renewal) {
            tracing::error!(%job, bytes, "the progress of a job is not recorded until it changes");
        }
    }

    /// Returns the records of a renewal: the leader's own, and those of guards and ended jobs.
    fn renewal(
        &mut self,
        now: Millis,
    ) -> Renewal {
        self.renewed_at = Some(now);
        let shared = &self.shared;
        let mut records = Vec::new();
        let renewal = self.election.renewal(shared.term);
        push_record(&mut records, &LedgerKey::Leader, &renewal);
        // A guard that is still alive registers again.
        let expired = shared.scheduler.borrow_mut().mark_expired_guards(now);
        self.expired_guards.extend(expired);
        if self.renews_only {
            return Renewal {
                records,
                ..Renewal::default()
            };
        }
        let expired_guards = std::mem::take(&mut self.expired_guards);
        let expired = expired_guards.iter();
        let removed = expired.map(|name| LedgerKey::Member(name.as_str().into()));
        records.extend(removed.map(|key| key.tombstone()));
        for member in shared.lost_registrations(&self.election.ledger) {
            if append_size(&records) > MAX_MEMBER_BYTES_PER_RENEWAL {
                break;
            }
            let key = LedgerKey::Member(member.name.clone());
            push_record(&mut records, &key, &LedgerRecord::Member(member));
        }
        records.extend(self.expired_job_tombstones(now));
        Renewal {
            records,
            expired_guards,
        }
    }

    /// Returns the records that drop ended jobs after their retention, within which callers can ask
    /// for the outcome. Without them the ledger would grow without bound.
    fn expired_job_tombstones(
        &self,
        now: Millis,
    ) -> Vec<KeyedRecord> {
        self.election.ledger.view(|fold| {
            let ids = fold.expired_jobs(now, self.retention, MAX_DROPPED_JOBS_PER_RENEWAL);
            if !ids.is_empty() {
                tracing::info!(
                    jobs = ids.len(),
                    retention_ms = Millis::from(self.retention).0,
                    "ended jobs are dropped from the ledger"
                );
            }
            let keys = ids.into_iter().flat_map(|id| fold.stored_keys(id));
            let keys = keys.take(MAX_JOB_TOMBSTONES_PER_RENEWAL);
            keys.map(|key| key.tombstone()).collect()
        })
    }
}

/// Adds a record. One that cannot be encoded is a fault in the program; it is logged and left out.
fn push_record(
    records: &mut Vec<KeyedRecord>,
    key: &LedgerKey,
    content: &LedgerRecord,
) {
    match key.record(content) {
        Ok(record) => records.push(record),
        Err(e) => tracing::error!(%key, error = %e, "a record cannot be encoded"),
    }
}
