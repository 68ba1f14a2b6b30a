//! The state of one process: the fold, kept up with the log.

use {
    super::{Fold, Record, RecordBody, RecordKey},
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            platform::{LogError, PlatformLog},
        },
    },
    derive_more::{Display, Error},
    event_listener::{Event, EventListener},
    std::cell::{Cell, Ref},
};

/// How long one read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(20);

/// The pause after the log gave no answer.
const READ_RETRY: Duration = Duration::from_millis(500);

/// How long a writer waits to read its own record back.
const READ_BACK: Duration = Duration::from_secs(5);

/// Why a record is not known to be on the log.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum StateError {
    /// The record is not on the log.
    #[display("the log is unavailable; nothing was recorded")]
    NotRecorded,
    /// The record may be on the log.
    #[display("the log's answer was lost; it is not known whether the record stands")]
    Unknown,
}

/// The fold with its log.
pub struct State {
    log: Rc<dyn PlatformLog>,
    clock: Rc<dyn Clock>,
    writer: EntryName,
    epoch: u64,
    next_sequence: Cell<u64>,
    fold: RefCell<Fold>,
    changed: Event,
}

impl State {
    /// Creates an empty state; `epoch` has to be new at each start of the process.
    pub fn new(
        log: Rc<dyn PlatformLog>,
        clock: Rc<dyn Clock>,
        writer: EntryName,
        epoch: u64,
    ) -> Self {
        Self {
            log,
            clock,
            writer,
            epoch,
            next_sequence: Cell::new(1),
            fold: RefCell::default(),
            changed: Event::new(),
        }
    }

    /// Returns the fold as it is now. The reference must not be held over a wait.
    pub fn fold(&self) -> Ref<'_, Fold> {
        self.fold.borrow()
    }

    /// Returns the random number of this start of the process.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns what is done at the next change of the fold. Taken before the fold is looked at, it
    /// misses no change.
    pub fn change(&self) -> EventListener {
        self.changed.listen()
    }

    /// Waits until the fold changes.
    pub async fn wait_for_change(&self) {
        self.changed.listen().await;
    }

    /// Reads the log for ever and folds what it brings.
    pub async fn follow_log(&self) {
        loop {
            let from = self.fold.borrow().next();
            match self.log.read(from, READ_WAIT).await {
                Ok(batch) => {
                    let mut fold = self.fold.borrow_mut();
                    for record in &batch.records {
                        fold.apply(record);
                    }
                    drop(fold);
                    self.changed.notify(usize::MAX);
                }
                Err(_) => self.clock.sleep(READ_RETRY).await,
            }
        }
    }

    /// Appends a record and waits until it is folded here.
    ///
    /// # Errors
    /// [`StateError`], which tells whether the record may stand on the log.
    pub async fn append(
        &self,
        body: RecordBody,
    ) -> Result<(), StateError> {
        self.append_keyed(body).await.map(drop)
    }

    /// Appends a record, waits until it is folded here and returns its identity.
    ///
    /// # Errors
    /// [`StateError`], which tells whether the record may stand on the log.
    pub async fn append_keyed(
        &self,
        body: RecordBody,
    ) -> Result<RecordKey, StateError> {
        let record = Record {
            key: self.next_key(),
            writer: self.writer.clone(),
            body,
        };
        let data = postcard::to_stdvec(&record).map_err(|_| StateError::NotRecorded)?;
        match self.log.append(vec![data.into()]).await {
            Ok(_) | Err(LogError::AnswerLost) => {}
            Err(LogError::RateLimited | LogError::Unavailable) => {
                return Err(StateError::NotRecorded);
            }
        }
        let folded = self.wait_for_record(record.key);
        let folded = with_timeout(&*self.clock, READ_BACK, folded).await;
        folded.map(|()| record.key).ok_or(StateError::Unknown)
    }

    async fn wait_for_record(
        &self,
        key: RecordKey,
    ) {
        loop {
            let changed = self.changed.listen();
            if self.fold.borrow().has_seen(key) {
                return;
            }
            changed.await;
        }
    }

    fn next_key(&self) -> RecordKey {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        RecordKey {
            epoch: self.epoch,
            sequence,
        }
    }
}
