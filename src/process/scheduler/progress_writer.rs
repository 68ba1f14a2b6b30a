//! Records progress on the ledger and renews the lead.

use {
    super::running_scheduler::SchedulerCore,
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
const MAX_BATCH: usize = 100;

/// The most ended jobs that are dropped with one renewal. Far more than can end in that time.
const MAX_DROPPED_JOBS: usize = 50;

/// How long changes are grouped before they are recorded.
const GROUP_TIME: Duration = Duration::from_millis(10);

/// The pause before an append that brought no result is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Appends fenced records, one append after the other.
pub(super) struct FencedWriter {
    term: u64,
    sequence: u64,
}

impl FencedWriter {
    /// Creates the writer of a term.
    pub(super) fn new(term: u64) -> Self {
        Self { term, sequence: 0 }
    }

    /// Appends records; sends them again until it is known that they are stored. Returns the
    /// offset of the first one, or `None` when another entry has the lead.
    pub(super) async fn append(
        &mut self,
        lead: &LeaderElection,
        records: &[KeyedRecord],
    ) -> Option<u64> {
        self.sequence += 1;
        loop {
            let fence = Fence {
                epoch: self.term,
                sequence: self.sequence,
            };
            match lead.ledger.append(records, Condition::Fenced(fence)).await {
                Ok(offset) => return Some(offset),
                Err(StoreError::Fenced) => return None,
                Err(StoreError::OutOfSequence(expected)) => {
                    tracing::warn!(expected, sequence = self.sequence, "append out of sequence");
                    self.sequence = expected;
                }
                Err(e) => {
                    tracing::warn!(term = self.term, error = %e, records = records.len(), "progress is not recorded yet");
                    lead.clock.sleep(RETRY_PAUSE).await;
                }
            }
            if !lead.is_current_term(self.term) {
                return None;
            }
        }
    }
}

/// Records progress until another entry has the lead.
pub(super) async fn write_progress(
    core: Rc<SchedulerCore>,
    lead: Rc<LeaderElection>,
    mut writer: FencedWriter,
    retention: Duration,
) {
    let mut renewed = core.clock.now();
    loop {
        let due = core.record_due.listen();
        let mut batch = core.scheduler.borrow_mut().unrecorded(MAX_BATCH);
        let is_renewal_due = core.clock.now().since(renewed) >= LEADER_RENEWAL_INTERVAL;
        if batch.is_empty() && !is_renewal_due {
            with_timeout(&*core.clock, LEADER_RENEWAL_INTERVAL / 2, due).await;
            core.clock.sleep(GROUP_TIME).await;
            continue;
        }
        let mut records = Vec::new();
        if is_renewal_due {
            renewed = core.clock.now();
            push_record(&mut records, &LedgerKey::Leader, &lead.renewal(core.term));
            // A guard that lives registers again.
            let now = core.clock.now();
            let lapsed = core.scheduler.borrow_mut().take_lapsed_guards(now);
            let dropped = lapsed
                .iter()
                .map(|name| LedgerKey::Member(name.as_str().into()));
            records.extend(dropped.map(|key| key.tombstone()));
            records.extend(outdated(&lead, retention));
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
        if writer.append(&lead, &records).await.is_none() {
            core.depose("another entry has appended under a higher term");
            return;
        }
        for (id, change) in written {
            core.scheduler.borrow_mut().note_recorded(id, change);
        }
        core.note_recorded();
        core.turn_due.notify(usize::MAX);
    }
}

/// Returns the records that drop jobs whose callers have had time to learn how they ended. Otherwise
/// the ledger would grow for ever.
fn outdated(
    lead: &LeaderElection,
    retention: Duration,
) -> Vec<KeyedRecord> {
    let now = lead.clock.now();
    let ledger = &lead.ledger;
    let ids = ledger.view(|f| f.expired_jobs(now, retention, MAX_DROPPED_JOBS));
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

/// Adds a record; one that cannot be encoded is a fault of the program and is left out.
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
