//! Writes the ends of claimed requests to the log in the background.

use {
    super::Entry,
    crate::{
        prelude::*,
        process::state::{Claim, ClaimEnd, ClaimRecord, RecordBody},
    },
    event_listener::Event,
    std::collections::VecDeque,
};

/// The delay after a failed append.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The maximum length of the queue. An end that does not fit is dropped, and its claim counts as
/// lost after its deadline.
const MAX_PENDING_ENDS: usize = 8192;

const MAX_CONCURRENT_APPENDS: usize = 16;

/// Ends of claimed requests that are still to be appended to the log.
#[derive(Debug, Default)]
pub struct ClaimEndQueue {
    pending: RefCell<VecDeque<ClaimRecord>>,
    changed: Event,
}

impl ClaimEndQueue {
    /// Queues the end of a claim, or drops it when the queue is full.
    pub fn push(
        &self,
        claim: Claim,
        end: ClaimEnd,
    ) {
        let mut pending = self.pending.borrow_mut();
        if pending.len() < MAX_PENDING_ENDS {
            pending.push_back(ClaimRecord::Ended { claim, end });
            self.changed.notify(1);
        }
    }

    /// Returns the number of queued ends.
    pub fn len(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Returns whether no end is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn next_batch(&self) -> Vec<ClaimRecord> {
        let mut pending = self.pending.borrow_mut();
        let count = pending.len().min(MAX_CONCURRENT_APPENDS);
        pending.drain(..count).collect()
    }

    /// Puts records back to the front of the queue, in their order.
    fn requeue(
        &self,
        records: Vec<ClaimRecord>,
    ) {
        let mut pending = self.pending.borrow_mut();
        for record in records.into_iter().rev() {
            pending.push_front(record);
        }
    }
}

/// Appends queued ends to the log; never returns. An end whose append fails or has an unknown
/// outcome is appended again, which is safe because folding it twice changes nothing.
pub async fn write_claim_ends(entry: Rc<Entry>) {
    loop {
        let changed = entry.claim_ends.changed.listen();
        let batch = entry.claim_ends.next_batch();
        if batch.is_empty() {
            changed.await;
            continue;
        }
        let appends = batch.into_iter().map(|record| append_end(&entry, record));
        let failed = futures_util::future::join_all(appends).await;
        let failed: Vec<ClaimRecord> = failed.into_iter().flatten().collect();
        if !failed.is_empty() {
            entry.claim_ends.requeue(failed);
            entry.clock.sleep(APPEND_RETRY_DELAY).await;
        }
    }
}

/// Appends an end; returns it when it may be missing from the log.
async fn append_end(
    entry: &Entry,
    record: ClaimRecord,
) -> Option<ClaimRecord> {
    let body = RecordBody::Claim(record.clone());
    match entry.state.append(body).await {
        Ok(_) => None,
        Err(e) => {
            tracing::debug!(error = %e, "the end of a claim is not recorded yet");
            Some(record)
        }
    }
}
