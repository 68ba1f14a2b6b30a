//! Records the progress of jobs on the ledger and renews the leader's term.

use {
    super::scheduler_term::SchedulerTerm,
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{
                Condition, Fence, KeyedRecord, LEADER_RENEWAL_INTERVAL, LeaderElection, LedgerFold,
                LedgerKey, LedgerRecord, StoreError,
            },
        },
        request::StepJobId,
    },
};

/// The most jobs in one append.
const MAX_BATCH_JOBS: usize = 100;

/// The most ended jobs that are dropped with one renewal; far fewer can end between two renewals.
const MAX_DROPPED_JOBS_PER_RENEWAL: usize = 50;

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

    /// Appends records and retries until they are known to be stored. Returns `None` when another
    /// entry is the leader.
    pub(super) async fn append(
        &mut self,
        election: &LeaderElection,
        records: &[KeyedRecord],
    ) -> Option<ConfirmedAppend> {
        self.sequence += 1;
        let sent_at = election.clock.now();
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
                Ok(offset) => return Some(ConfirmedAppend { offset, sent_at }),
                Err(StoreError::Fenced) => return None,
                Err(StoreError::OutOfSequence(expected)) => {
                    tracing::warn!(expected, sequence = self.sequence, "append out of sequence");
                    self.sequence = expected;
                }
                Err(e) => {
                    tracing::warn!(term = self.term, error = %e, records = records.len(), "progress is not recorded yet");
                    election.clock.sleep(RETRY_DELAY).await;
                }
            }
            if !election.is_current_term(self.term) {
                return None;
            }
        }
    }
}

/// Records progress and renews the term until another entry is the leader.
pub(super) async fn write_progress(
    shared: Rc<SchedulerTerm>,
    election: Rc<LeaderElection>,
    mut writer: FencedWriter,
    retention: Duration,
) {
    let mut renewed = shared.clock.now();
    loop {
        let recording_due = shared.recording_due.listen();
        let mut batch = shared
            .scheduler
            .borrow_mut()
            .unrecorded_progress(MAX_BATCH_JOBS);
        let is_renewal_due = shared.clock.now().since(renewed) >= LEADER_RENEWAL_INTERVAL;
        if batch.is_empty() && !is_renewal_due {
            with_timeout(&*shared.clock, LEADER_RENEWAL_INTERVAL / 2, recording_due).await;
            shared.clock.sleep(GROUPING_DELAY).await;
            continue;
        }
        let mut records = Vec::new();
        let mut expired = Vec::new();
        if is_renewal_due {
            renewed = shared.clock.now();
            push_record(
                &mut records,
                &LedgerKey::Leader,
                &election.renewal(shared.term),
            );
            // A guard that is still alive registers again.
            let now = shared.clock.now();
            expired = shared.scheduler.borrow_mut().mark_expired_guards(now);
            let removed = expired
                .iter()
                .map(|name| LedgerKey::Member(name.as_str().into()));
            records.extend(removed.map(|key| key.tombstone()));
            for member in shared.lost_registrations(&election.ledger) {
                let key = LedgerKey::Member(member.name.clone());
                push_record(&mut records, &key, &LedgerRecord::Member(member));
            }
            records.extend(expired_job_tombstones(&election, retention));
        }
        let mut written: Vec<(StepJobId, u64)> = Vec::new();
        for (id, change, progress) in batch.drain(..) {
            written.push((id, change));
            push_record(
                &mut records,
                &LedgerKey::Progress(id),
                &LedgerRecord::Progress(progress),
            );
        }
        let Some(appended) = writer.append(&election, &records).await else {
            shared.end("another entry has appended under a higher term");
            return;
        };
        {
            let mut scheduler = shared.scheduler.borrow_mut();
            scheduler.confirm_leadership(appended.sent_at);
            scheduler.confirm_deregistrations(&expired, appended.offset + records.len() as u64);
        }
        for (id, change) in written {
            shared.scheduler.borrow_mut().mark_recorded(id, change);
        }
        shared.acknowledge_recorded_ends();
        shared.pass_due.notify(usize::MAX);
    }
}

/// Returns the records that drop ended jobs after their retention, within which callers can ask for
/// the outcome. Without them the ledger would grow without bound.
fn expired_job_tombstones(
    election: &LeaderElection,
    retention: Duration,
) -> Vec<KeyedRecord> {
    let now = election.clock.now();
    let ledger = &election.ledger;
    let ids = ledger.view(|f| f.expired_jobs(now, retention, MAX_DROPPED_JOBS_PER_RENEWAL));
    if !ids.is_empty() {
        tracing::info!(
            jobs = ids.len(),
            retention_ms = Millis::from(retention).0,
            "ended jobs are dropped from the ledger"
        );
    }
    let keys = ids.into_iter().flat_map(LedgerFold::job_keys);
    keys.map(|key| key.tombstone()).collect()
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
