//! Ends of claimed requests on their way to the log.

use {
    super::Entry,
    crate::{
        prelude::*,
        process::state::{Claim, ClaimEnd, ClaimRecord, RecordBody},
    },
    event_listener::Event,
    std::collections::VecDeque,
};

/// The pause after the log did not take an end.
const END_RETRY: Duration = Duration::from_millis(500);

/// The most ends that wait for the log. A claim whose end is given up counts as lost after its
/// deadline.
const MAX_ENDS: usize = 8192;

/// The most appends of ends at once.
const MAX_APPENDS: usize = 16;

/// The ends that are not yet on the log, in order.
#[derive(Debug, Default)]
pub struct ClaimEnds {
    waiting: RefCell<VecDeque<ClaimRecord>>,
    changed: Event,
}

impl ClaimEnds {
    /// Adds an end.
    pub fn push(
        &self,
        claim: Claim,
        end: ClaimEnd,
    ) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() < MAX_ENDS {
            waiting.push_back(ClaimRecord::Ended { claim, end });
            self.changed.notify(1);
        }
    }

    /// Returns the number of ends that wait for the log.
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Tells whether no end waits for the log.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn take_batch(&self) -> Vec<ClaimRecord> {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(MAX_APPENDS);
        waiting.drain(..count).collect()
    }

    fn put_back(
        &self,
        record: ClaimRecord,
    ) {
        self.waiting.borrow_mut().push_front(record);
    }
}

/// Writes ends to the log, for ever. An end that may not stand there is written again; folding it
/// twice changes nothing.
pub async fn run_claim_ends(entry: Rc<Entry>) {
    loop {
        let changed = entry.claim_ends.changed.listen();
        let batch = entry.claim_ends.take_batch();
        if batch.is_empty() {
            changed.await;
            continue;
        }
        let appends = batch.into_iter().map(|record| append_end(&entry, record));
        let taken = futures_util::future::join_all(appends).await;
        if taken.contains(&false) {
            entry.clock.sleep(END_RETRY).await;
        }
    }
}

/// Appends an end, and puts it back when it may not stand on the log.
async fn append_end(
    entry: &Entry,
    record: ClaimRecord,
) -> bool {
    let body = RecordBody::Claim(record.clone());
    let appended = entry.state.append(body).await.is_ok();
    if !appended {
        entry.claim_ends.put_back(record);
    }
    appended
}
