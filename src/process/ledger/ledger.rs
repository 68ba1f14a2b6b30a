//! One process's view of the ledger, kept current by following the store.

use {
    super::{
        Condition, KeyedPage, KeyedRecord, KeyedStore, LeaderRecord, LedgerFold, LedgerKey,
        LedgerRecord, NewestList, ReadRange, RecordLimits, StoreError, known_end::KnownEnd,
    },
    crate::{connection::Transfer, prelude::*, request::StepJobId},
    event_listener::{Event, EventListener},
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    std::{cell::Cell, collections::BTreeSet},
};

/// The topic in which the ledger is stored.
const TOPIC: &str = "keyed.limpetquay";

/// The topic of the claims to leadership. It takes nothing else, so that whether a claim succeeds
/// does not depend on how much is stored in the ledger.
const CLAIM_TOPIC: &str = "keyed.limpetquay-claims";

/// A text that sorts after all keys of the ledger, so that a list after it holds only the end of the topic.
const AFTER_ALL_KEYS: &str = "~";

/// How long one read waits for a record; bounds the age of the state while no records are stored.
const READ_WAIT: Duration = Duration::from_millis(1000);

/// The pause after a read with records, in an entry that does not lead. It groups the records of a
/// busy ledger into fewer calls; the leader reads on at once.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(80);

/// How long a read that waits for records may be behind a known end of the topic before the records
/// are read by a second call. It is longer than a round trip between regions and the store's own
/// time, after which the waiting read has normally answered.
const CATCH_UP_DELAY: Duration = Duration::from_millis(120);

/// The pause after a failed read, so that an outage does not cause a storm of calls.
const READ_RETRY: Duration = Duration::from_millis(200);

/// The state of the ledger, which one task keeps up to date.
pub struct Ledger {
    store: Rc<dyn KeyedStore>,
    clock: Rc<dyn Clock>,
    limits: RecordLimits,
    fold: RefCell<LedgerFold>,
    /// The jobs that records have added, changed or removed since the last call of
    /// `take_changed_jobs`; `None` while changes are not tracked.
    changed_jobs: RefCell<Option<BTreeSet<StepJobId>>>,
    read_at: Cell<Option<Millis>>,
    known_end: KnownEnd,
    changed: Event,
    leader_changed: Event,
}

impl Ledger {
    /// Creates a ledger that has not been read yet.
    pub fn new(
        store: Rc<dyn KeyedStore>,
        clock: Rc<dyn Clock>,
    ) -> Self {
        Self {
            store,
            clock,
            limits: RecordLimits::default(),
            fold: RefCell::default(),
            changed_jobs: RefCell::default(),
            read_at: Cell::default(),
            known_end: KnownEnd::new(),
            changed: Event::new(),
            leader_changed: Event::new(),
        }
    }

    /// Sets the limits of the store.
    #[must_use]
    pub fn with_limits(
        mut self,
        limits: RecordLimits,
    ) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the limits of the store.
    pub fn limits(&self) -> RecordLimits {
        self.limits
    }

    /// Calls `read` with the current state and returns its result.
    pub fn view<F, T>(
        &self,
        read: F,
    ) -> T
    where
        F: FnOnce(&LedgerFold) -> T,
    {
        read(&self.fold.borrow())
    }

    /// Returns the age of the state; `None` before it was first read.
    pub fn age(&self) -> Option<Duration> {
        self.read_at.get().map(|at| self.clock.now().since(at))
    }

    /// Returns a listener that is notified when the state has next been read.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Returns a listener that is notified when a record with another term has next been read, or
    /// a resignation.
    pub fn listen_leader(&self) -> EventListener {
        self.leader_changed.listen()
    }

    /// Starts or stops tracking the jobs that new records add, change or remove.
    pub fn track_changed_jobs(
        &self,
        is_tracking: bool,
    ) {
        *self.changed_jobs.borrow_mut() = is_tracking.then(BTreeSet::new);
    }

    /// Returns the jobs that records have added, changed or removed since the last call; none while
    /// changes are not tracked.
    pub fn take_changed_jobs(&self) -> BTreeSet<StepJobId> {
        let mut changed = self.changed_jobs.borrow_mut();
        changed.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Appends records and returns the offset of the first one. Records above the limits of the store
    /// are not sent.
    ///
    /// # Errors
    /// Returns a [`StoreError`], which shows whether the records may be stored.
    pub async fn append(
        &self,
        records: &[KeyedRecord],
        condition: Condition,
    ) -> Result<u64, StoreError> {
        self.limits.check(records)?;
        let offset = self.store.append(TOPIC, records, condition).await?;
        let end = offset + records.len() as u64;
        self.known_end.note_stored(end);
        Ok(offset)
    }

    /// Notes that the topic holds records up to `end`, so that they are read soon even if the read
    /// that waits for them hears nothing.
    pub fn note_end(
        &self,
        end: u64,
    ) {
        self.known_end.note(end);
    }

    /// Waits until this process has stored records beyond `end`, and returns the offset after them.
    pub async fn wait_for_stored_end(
        &self,
        end: u64,
    ) -> u64 {
        self.known_end.wait_for_stored(end).await
    }

    /// Returns the offset at which the ledger ends on the store, which this process need not have read.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store gives no result in time.
    pub async fn stored_end(&self) -> Result<u64, StoreError> {
        let transfer = Transfer::default();
        let page = self
            .store
            .newest_page(TOPIC, Some(AFTER_ALL_KEYS), &transfer);
        Ok(page.await?.end)
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    /// Returns a [`StoreError`], which shows whether the record may be stored.
    pub async fn put(
        &self,
        key: &LedgerKey,
        content: &LedgerRecord,
        condition: Condition,
    ) -> Result<u64, StoreError> {
        let record = key.record(content);
        let record = record.map_err(|e| StoreError::Refused(e.to_string()))?;
        self.append(&[record], condition).await
    }

    /// Returns the newest claim to leadership, and the offset at which the topic of claims ends. A
    /// record that is not a claim counts as none.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store gives no result in time.
    pub async fn latest_claim(&self) -> Result<(Option<LeaderRecord>, u64), StoreError> {
        let page = self.store.newest(CLAIM_TOPIC).await?;
        let claims = page.records.iter().filter_map(decode_leader_record);
        Ok((claims.last(), page.end))
    }

    /// Stores a claim to leadership if the topic of claims still ends at `end`.
    ///
    /// # Errors
    /// Returns a [`StoreError`] unless the claim is known to be stored.
    pub async fn append_claim(
        &self,
        claim: LeaderRecord,
        end: u64,
    ) -> Result<u64, StoreError> {
        let record = LedgerKey::Leader.record(&LedgerRecord::Leader(claim));
        let record = record.map_err(|e| StoreError::Refused(e.to_string()))?;
        let condition = Condition::EndsAt(end);
        self.store.append(CLAIM_TOPIC, &[record], condition).await
    }

    /// Returns whether a leader record has been stored that was not read yet.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store gives no result in time.
    pub async fn has_unread_leader_record(&self) -> Result<bool, StoreError> {
        self.has_unread(|r| decode_leader_record(r).is_some()).await
    }

    /// Returns whether a record matches that was not read yet. One read returns only the first part
    /// of what has been stored, so it reads on until the end.
    async fn has_unread<F>(
        &self,
        matches: F,
    ) -> Result<bool, StoreError>
    where
        F: Fn(&KeyedRecord) -> bool,
    {
        let mut from = self.view(|f| f.next_offset);
        loop {
            let page = self.store.read(TOPIC, from, Duration::ZERO).await?;
            if page.records.iter().any(&matches) {
                return Ok(true);
            }
            if page.end <= from {
                return Ok(false);
            }
            from = page.end;
        }
    }

    /// Waits until all records before `offset` have been applied.
    pub async fn wait_for_offset(
        &self,
        offset: u64,
    ) {
        self.wait_until(&|fold: &LedgerFold| fold.next_offset >= offset)
            .await;
    }

    /// Waits until the state satisfies `predicate`.
    pub async fn wait_until<F>(
        &self,
        predicate: &F,
    ) where
        F: Fn(&LedgerFold) -> bool,
    {
        loop {
            let listener = self.listen();
            if predicate(&self.fold.borrow()) {
                return;
            }
            listener.await;
        }
    }

    /// Waits until the state has been read for the first time.
    pub async fn wait_until_read(&self) {
        loop {
            let listener = self.listen();
            if self.read_at.get().is_some() {
                return;
            }
            listener.await;
        }
    }

    /// Reads and applies the store's records forever.
    pub async fn follow(&self) {
        let mut newest = NewestList::default();
        let mut next = None;
        loop {
            let result = match next {
                None => newest.read_on(&*self.store, TOPIC).await,
                Some(from) => self.read_next(from).await,
            };
            match result {
                Ok(page) => {
                    if self.read_at.get().is_none() {
                        tracing::info!(records = page.records.len(), end = page.end, "ledger read");
                    }
                    if next.is_none() {
                        self.fold.borrow_mut().retain_newest(&page);
                    }
                    next = Some(self.apply_page(&page));
                    let is_leading = self.changed_jobs.borrow().is_some();
                    if !is_leading && !page.records.is_empty() {
                        self.clock.sleep(FOLLOWER_PAUSE).await;
                    }
                }
                Err(StoreError::Trimmed) => {
                    tracing::info!(
                        from = next,
                        "ledger records have been trimmed; reading the newest record of each key again"
                    );
                    next = None;
                }
                Err(e) => {
                    tracing::warn!(error = %e, age_ms = ?self.age().map(|a| a.as_millis()), "the ledger cannot be read");
                    self.clock.sleep(READ_RETRY).await;
                }
            }
        }
    }

    /// Waits for the records from an offset on. Once the topic is known to hold some and the waiting
    /// read receives nothing, reads them by another call, because a waiting read may hear nothing
    /// while the store serves other calls.
    async fn read_next(
        &self,
        from: u64,
    ) -> Result<KeyedPage, StoreError> {
        let range = ReadRange {
            topic: TOPIC,
            from,
            wait: READ_WAIT,
            max_bytes: None,
        };
        let transfer = Transfer::default();
        let mut waiting = self.store.read_page(range, &transfer);
        loop {
            let behind = async {
                self.known_end.wait_for_noted(from).await;
                transfer
                    .wait_for_silence(&*self.clock, CATCH_UP_DELAY)
                    .await;
            };
            pin_mut!(behind);
            waiting = match select(waiting, behind).await {
                Either::Left((result, _)) => return result,
                Either::Right((_, waiting)) => waiting,
            };
            let noted = self.known_end.noted();
            let catching_up = self.store.read(TOPIC, from, Duration::ZERO);
            waiting = match select(waiting, catching_up).await {
                Either::Left((Ok(page), _)) => return Ok(page),
                Either::Left((Err(e), catching_up)) => {
                    tracing::debug!(from, error = %e, "the waiting read has failed");
                    return catching_up.await;
                }
                Either::Right((Ok(page), _)) if !page.records.is_empty() => {
                    tracing::info!(
                        from,
                        end = page.end,
                        "records are read that the waiting read has not returned"
                    );
                    return Ok(page);
                }
                Either::Right((Ok(_), waiting)) => {
                    // The topic ended here when it was read, so a hint was wrong.
                    self.known_end.correct(noted, from);
                    waiting
                }
                Either::Right((Err(e), _)) => return Err(e),
            };
        }
    }

    fn apply_page(
        &self,
        page: &KeyedPage,
    ) -> u64 {
        let now = self.clock.now();
        let mut fold = self.fold.borrow_mut();
        let leader_before = fold.leader.as_ref().map(|l| (l.term, l.resigned));
        for record in &page.records {
            let job = fold.apply(record, now);
            if let (Some(id), Some(changed)) = (job, self.changed_jobs.borrow_mut().as_mut()) {
                changed.insert(id);
            }
        }
        fold.next_offset = fold.next_offset.max(page.end);
        if leader_before != fold.leader.as_ref().map(|l| (l.term, l.resigned)) {
            self.leader_changed.notify(usize::MAX);
        }
        drop(fold);
        self.read_at.set(Some(now));
        self.changed.notify(usize::MAX);
        page.end
    }
}

/// Decodes a leader record. Returns `None` for records of other kinds.
fn decode_leader_record(record: &KeyedRecord) -> Option<LeaderRecord> {
    if LedgerKey::parse(&record.key) != Some(LedgerKey::Leader) {
        return None;
    }
    match postcard::from_bytes(record.value.as_ref()?) {
        Ok(LedgerRecord::Leader(leader)) => Some(leader),
        Ok(_) => None,
        Err(e) => {
            tracing::error!(key = %record.key, offset = record.offset, error = %e, "leader record cannot be decoded; ignored");
            None
        }
    }
}
