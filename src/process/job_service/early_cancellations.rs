//! Cancellations of jobs that the entry has not read.

use {
    super::DeskError,
    crate::{
        prelude::*,
        process::{clock::sleep_logging_delay, limits::AccountShares},
        request::StepJobId,
    },
    event_listener::Event,
    futures_channel::oneshot,
};

/// How many early cancellations all entries together may have on the ledger, some 0.5 MB.
const MAX_EARLY_CANCELLATIONS: usize = 8192;

/// How many of them each entry admits at least. Entries that are gone for good still count as registered.
const MIN_PER_ENTRY: usize = 128;

/// How long further cancellations are collected for one append.
const GROUPING_DELAY: Duration = Duration::from_millis(30);

/// The most cancellations of one append, some 20 KB.
const MAX_BATCH_LEN: usize = 400;

/// What a caller that waits for its cancellation to be stored receives.
pub(super) type StoredReply = oneshot::Receiver<Result<(), DeskError>>;

/// A cancellation that is to be stored.
pub(super) struct EarlyCancellation {
    /// The job that is cancelled.
    pub(super) id: StepJobId,
    account: AccountName,
    reply: oneshot::Sender<Result<(), DeskError>>,
}

/// The cancellations of jobs that the entry has not read and that may still be stored, because an
/// append without an answer may be carried out seconds later. They are on the ledger before they are
/// answered. As callers can ask for any number of them, they are limited by account and stored
/// several at a time.
pub struct EarlyCancellations {
    retention: Duration,
    waiting: RefCell<Vec<EarlyCancellation>>,
    shares: RefCell<AccountShares>,
    added: Event,
}

impl EarlyCancellations {
    /// Creates the queue. The leader drops what is stored after `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            waiting: RefCell::default(),
            shares: RefCell::default(),
            added: Event::new(),
        }
    }

    /// Adds a cancellation that an account asks for, at one of `entries` entries. Returns `None` if
    /// the account may add no more at present.
    pub(super) fn add(
        &self,
        id: StepJobId,
        account: &AccountName,
        entries: usize,
        now: Millis,
    ) -> Option<StoredReply> {
        let capacity = (MAX_EARLY_CANCELLATIONS / entries.max(1)).max(MIN_PER_ENTRY);
        if !self.shares.borrow_mut().take(account, capacity, now) {
            return None;
        }
        let (reply, stored) = oneshot::channel();
        self.waiting.borrow_mut().push(EarlyCancellation {
            id,
            account: account.clone(),
            reply,
        });
        self.added.notify(usize::MAX);
        Some(stored)
    }

    /// Waits for cancellations and returns the next ones to store, in the order in which they came.
    pub(super) async fn next_batch(
        &self,
        clock: &dyn Clock,
    ) -> Vec<EarlyCancellation> {
        loop {
            let added = self.added.listen();
            if !self.waiting.borrow().is_empty() {
                break;
            }
            added.await;
        }
        sleep_logging_delay(clock, GROUPING_DELAY).await;
        let mut waiting = self.waiting.borrow_mut();
        let len = waiting.len().min(MAX_BATCH_LEN);
        waiting.drain(..len).collect()
    }

    /// Tells the callers what has become of their cancellations. Those that are certainly not stored
    /// no longer count.
    pub(super) fn finish(
        &self,
        batch: Vec<EarlyCancellation>,
        result: Result<(), DeskError>,
        now: Millis,
    ) {
        let is_refused = matches!(result, Err(DeskError::NotStored | DeskError::TooLarge));
        let mut shares = self.shares.borrow_mut();
        for EarlyCancellation { account, reply, .. } in batch {
            if is_refused {
                shares.give_back(&account);
            } else {
                shares.give_back_at(account, now + self.retention.into());
            }
            if reply.send(result).is_err() {
                tracing::debug!("a caller has not waited for its cancellation");
            }
        }
    }
}
