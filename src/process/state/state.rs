//! The state of one process: the fold, kept up with the log.

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

/// How long a caller waits until its record is folded here.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// The fold with its log. One task reads the log and one writes it.
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
    /// Creates an empty state without peers; `epoch` has to be new at each start of the process.
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

    /// Has the state learn from peers when the log does not give it.
    pub fn with_peers(
        mut self,
        peers: Rc<dyn StatePeers>,
    ) -> Self {
        self.peers = peers;
        self
    }

    /// Returns the fold as it is now. The reference must not be held over a wait.
    pub fn fold(&self) -> Ref<'_, Fold> {
        self.fold.borrow()
    }

    /// Returns how this process sees the log.
    pub fn log_view(&self) -> LogView {
        self.log_view.get()
    }

    /// Returns the number of records that wait to be appended.
    pub fn pending_record_count(&self) -> usize {
        self.outbox.len()
    }

    /// Returns the random number of this start of the process.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns what is done at the next change of the fold. Taken before the fold is looked at, it
    /// misses no change.
    pub fn change_listener(&self) -> EventListener {
        self.changed.listen()
    }

    /// Waits until the fold changes.
    pub async fn wait_for_change(&self) {
        self.changed.listen().await;
    }

    /// Reads the log for ever and folds what it brings, and appends what callers record.
    pub async fn sync_with_log(&self) {
        futures_util::future::join(self.read_log(), self.write_log()).await;
    }

    /// Records something and waits until it is folded here.
    ///
    /// # Errors
    /// [`StateError`], which tells whether the record may stand on the log.
    pub async fn append(
        &self,
        body: RecordBody,
    ) -> Result<(), StateError> {
        self.append_within(body, APPEND_TIMEOUT).await.map(drop)
    }

    /// Records something, waits until it is folded here and returns its identity.
    ///
    /// # Errors
    /// [`StateError`], which tells whether the record may stand on the log.
    pub async fn append_keyed(
        &self,
        body: RecordBody,
    ) -> Result<RecordKey, StateError> {
        let receipt = self.append_within(body, APPEND_TIMEOUT).await?;
        Ok(receipt.0)
    }

    /// Records something, waits until it is folded here and returns what became of it.
    ///
    /// # Errors
    /// [`StateError`], which tells whether the record may stand on the log.
    pub async fn append_for_outcome(
        &self,
        body: RecordBody,
    ) -> Result<RecordOutcome, StateError> {
        let receipt = self.append_within(body, APPEND_TIMEOUT).await?;
        Ok(receipt.1)
    }

    /// Records something, waits for a bounded time until it is folded here and returns what became
    /// of it. A record that was not sent within that time is never sent.
    ///
    /// # Errors
    /// [`StateError`], which tells whether the record may stand on the log.
    pub async fn append_for_outcome_within(
        &self,
        body: RecordBody,
        wait: Duration,
    ) -> Result<RecordOutcome, StateError> {
        let receipt = self.append_within(body, wait).await?;
        Ok(receipt.1)
    }

    /// Records something and waits for a bounded time until it is folded here. A record that was
    /// not sent within that time is never sent.
    ///
    /// # Errors
    /// [`StateError`], which tells whether the record may stand on the log.
    pub(super) async fn append_within(
        &self,
        body: RecordBody,
        wait: Duration,
    ) -> Result<Receipt, StateError> {
        let pushed = self.outbox.push(body);
        let (ticket, folded) = pushed.ok_or(StateError::NotRecorded)?;
        if let Some(Ok(receipt)) = with_timeout(&*self.clock, wait, folded).await {
            return Ok(receipt);
        }
        ticket.is_abandoned.set(true);
        if ticket.may_be_in_log.get() {
            Err(StateError::Unknown)
        } else {
            Err(StateError::NotRecorded)
        }
    }

    /// Returns the next record's identity.
    pub(super) fn next_key(&self) -> RecordKey {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        RecordKey {
            epoch: self.epoch,
            sequence,
        }
    }
}
