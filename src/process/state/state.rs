//! State of one process: the fold, kept current with the log.

use {
    super::{
        Fold, LogView, NoPeers, RecordBody, RecordKey, RecordOutcome, StateError, StatePeers,
        outbox::{Outbox, PendingRecord, Receipt},
    },
    crate::{
        prelude::*,
        process::{clock::with_timeout, platform::PlatformLog},
    },
    event_listener::{Event, EventListener},
    std::{
        cell::{Cell, Ref},
        collections::BTreeMap,
    },
};

/// How long an append waits until its record is folded by this process.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// The fold of the log, with one task that reads the log and one that appends to it.
pub struct State {
    pub(super) log: Rc<dyn PlatformLog>,
    pub(super) peers: Rc<dyn StatePeers>,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) writer: EntryName,
    pub(super) epoch: u64,
    pub(super) next_sequence: Cell<u64>,
    pub(super) outbox: Outbox,
    pub(super) in_flight: RefCell<BTreeMap<u64, PendingRecord>>,
    pub(super) fold: RefCell<Fold>,
    pub(super) log_view: Cell<LogView>,
    pub(super) changed: Event,
}

impl State {
    /// Creates an empty state without peers. `epoch` must be different at each start of the
    /// process.
    pub fn new(
        log: Rc<dyn PlatformLog>,
        clock: Rc<dyn Clock>,
        writer: EntryName,
        epoch: u64,
    ) -> Self {
        Self {
            log,
            peers: Rc::new(NoPeers),
            clock,
            writer,
            epoch,
            next_sequence: Cell::new(1),
            outbox: Outbox::default(),
            in_flight: RefCell::default(),
            fold: RefCell::default(),
            log_view: Cell::default(),
            changed: Event::new(),
        }
    }

    /// Sets the peers from which the state is loaded when the log cannot provide it.
    pub fn with_peers(
        mut self,
        peers: Rc<dyn StatePeers>,
    ) -> Self {
        self.peers = peers;
        self
    }

    /// Returns the current fold. The reference must not be held across an `await`.
    pub fn fold(&self) -> Ref<'_, Fold> {
        self.fold.borrow()
    }

    /// Returns the status of the log as this process observes it.
    pub fn log_view(&self) -> LogView {
        self.log_view.get()
    }

    /// Returns the number of records queued for an append.
    pub fn pending_record_count(&self) -> usize {
        self.outbox.len()
    }

    /// Returns the random number of this process, new at each start.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns a listener for the next change of the fold. If it is created before the fold is
    /// read, no change is missed.
    pub fn change_listener(&self) -> EventListener {
        self.changed.listen()
    }

    /// Waits until the fold changes.
    pub async fn wait_for_change(&self) {
        self.changed.listen().await;
    }

    /// Folds the records of the log and appends those of callers; never returns.
    pub async fn sync_with_log(&self) {
        futures_util::future::join(self.read_log(), self.write_log()).await;
    }

    /// Appends a record and waits until it is folded by this process.
    ///
    /// # Errors
    /// Returns a [`StateError`] that says whether the record may be in the log.
    pub async fn append(
        &self,
        body: RecordBody,
    ) -> Result<(), StateError> {
        self.append_within(body, APPEND_TIMEOUT).await.map(drop)
    }

    /// Appends a record, waits until it is folded by this process and returns its identity.
    ///
    /// # Errors
    /// Returns a [`StateError`] that says whether the record may be in the log.
    pub async fn append_keyed(
        &self,
        body: RecordBody,
    ) -> Result<RecordKey, StateError> {
        let receipt = self.append_within(body, APPEND_TIMEOUT).await?;
        Ok(receipt.0)
    }

    /// Appends a record, waits until it is folded by this process and returns its outcome.
    ///
    /// # Errors
    /// Returns a [`StateError`] that says whether the record may be in the log.
    pub async fn append_for_outcome(
        &self,
        body: RecordBody,
    ) -> Result<RecordOutcome, StateError> {
        let receipt = self.append_within(body, APPEND_TIMEOUT).await?;
        Ok(receipt.1)
    }

    /// Appends a record, waits for a bounded time until it is folded by this process and returns
    /// its outcome. A record that was not sent within that time is never sent.
    ///
    /// # Errors
    /// Returns a [`StateError`] that says whether the record may be in the log.
    pub async fn append_for_outcome_within(
        &self,
        body: RecordBody,
        wait: Duration,
    ) -> Result<RecordOutcome, StateError> {
        let receipt = self.append_within(body, wait).await?;
        Ok(receipt.1)
    }

    /// Appends a record and waits for a bounded time until it is folded by this process. A record
    /// that was not sent within that time is never sent.
    ///
    /// # Errors
    /// Returns a [`StateError`] that says whether the record may be in the log.
    pub(super) async fn append_within(
        &self,
        body: RecordBody,
        wait: Duration,
    ) -> Result<Receipt, StateError> {
        let pushed = self.outbox.push(body);
        let (status, folded) = pushed.ok_or(StateError::NotRecorded)?;
        if let Some(Ok(receipt)) = with_timeout(&*self.clock, wait, folded).await {
            return Ok(receipt);
        }
        status.is_abandoned.set(true);
        if status.may_be_in_log.get() {
            Err(StateError::Unknown)
        } else {
            Err(StateError::NotRecorded)
        }
    }

    /// Returns the identity for the next record.
    pub(super) fn next_key(&self) -> RecordKey {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        RecordKey {
            epoch: self.epoch,
            sequence,
        }
    }
}
