//! Queue of records to be appended to the log.

use {
    super::{RecordBody, RecordKey, RecordOutcome, Urgency},
    crate::prelude::*,
    event_listener::Event,
    futures_channel::oneshot,
    std::{
        cell::Cell,
        collections::{BTreeMap, VecDeque},
    },
};

/// Largest number of pending records.
const MAX_PENDING_RECORDS: usize = 20_000;

/// Largest number of records in one append.
const MAX_BATCH_RECORDS: usize = 500;

/// Largest size of one append, in bytes, unless a single record is larger.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Progress of a record, shared by the waiting caller and the writing task.
#[derive(Debug, Default)]
pub(super) struct AppendStatus {
    /// Whether the record may be in the log.
    pub(super) may_be_in_log: Cell<bool>,
    /// Whether the caller has stopped waiting; the record is then not sent any more.
    pub(super) is_abandoned: Cell<bool>,
}

/// The identity and outcome of a folded record.
pub(super) type Receipt = (RecordKey, RecordOutcome);

/// A record that has not been folded yet, with the channel to its caller.
pub(super) struct PendingRecord {
    pub(super) body: RecordBody,
    pub(super) encoded_bytes: usize,
    pub(super) status: Rc<AppendStatus>,
    pub(super) reply: oneshot::Sender<Receipt>,
}

impl PendingRecord {
    /// Returns whether a caller still waits for the record.
    pub(super) fn is_awaited(&self) -> bool {
        !self.status.is_abandoned.get() && !self.reply.is_canceled()
    }
}

/// Queue of pending records, by urgency and then in the order in which they were added.
#[derive(Default)]
pub(super) struct Outbox {
    queues: RefCell<BTreeMap<Urgency, VecDeque<PendingRecord>>>,
    pushed: Event,
}

impl Outbox {
    /// Adds a record, or returns `None` if too many are pending or the record cannot be encoded.
    pub(super) fn push(
        &self,
        body: RecordBody,
    ) -> Option<(Rc<AppendStatus>, oneshot::Receiver<Receipt>)> {
        if self.len() >= MAX_PENDING_RECORDS {
            return None;
        }
        let status = Rc::new(AppendStatus::default());
        let (tx, rx) = oneshot::channel();
        let pending = PendingRecord {
            status: status.clone(),
            reply: tx,
            encoded_bytes: postcard::to_stdvec(&body).ok()?.len(),
            body,
        };
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(pending.body.urgency()).or_default();
        queue.push_back(pending);
        self.pushed.notify(usize::MAX);
        Some((status, rx))
    }

    /// Returns the number of queued records.
    pub(super) fn len(&self) -> usize {
        self.queues.borrow().values().map(VecDeque::len).sum()
    }

    /// Waits until the queue holds a record whose caller still waits.
    pub(super) async fn wait_for_record(&self) {
        loop {
            let pushed = self.pushed.listen();
            self.drop_abandoned();
            if self.len() > 0 {
                return;
            }
            pushed.await;
        }
    }

    /// Removes and returns the records of the next append, the most urgent ones first.
    pub(super) fn next_batch(&self) -> Vec<PendingRecord> {
        self.drop_abandoned();
        let mut queues = self.queues.borrow_mut();
        let mut batch = Vec::new();
        let mut bytes = 0;
        for queue in queues.values_mut() {
            while let Some(next) = queue.front() {
                bytes += next.encoded_bytes;
                let is_full = batch.len() >= MAX_BATCH_RECORDS || bytes > MAX_BATCH_BYTES;
                if is_full && !batch.is_empty() {
                    return batch;
                }
                batch.extend(queue.pop_front());
            }
        }
        batch
    }

    fn drop_abandoned(&self) {
        for queue in self.queues.borrow_mut().values_mut() {
            queue.retain(PendingRecord::is_awaited);
        }
    }
}
