//! A store in virtual time that several entries share, each over a path of its own with faults.

use {
    limpetquay::{
        connection::Transfer,
        platform::stand_in::StoreModel,
        prelude::*,
        process::ledger::{
            Condition, KeyedPage, KeyedRecord, KeyedStore, ReadRange, StoreError, StoreHealth,
        },
    },
    std::cell::Cell,
};

/// The interval at which a read without records looks again.
const READ_POLL: Duration = Duration::from_millis(2);

/// How long a call takes that goes nowhere before it fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How a call reaches the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Path {
    /// Directly.
    #[default]
    Direct,
    /// Only through other entries.
    Relayed,
    /// Not at all; calls get no answer.
    Cut,
}

/// The calls that one store has received, by what they were for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    pub claims: u64,
    pub claim_reads: u64,
}

/// What the paths of all entries share.
#[derive(Default)]
pub struct SharedStore {
    pub model: RefCell<StoreModel>,
    pub counts: Cell<CallCounts>,
    pub is_down: Cell<bool>,
}

/// One entry's path to the store.
pub struct FakeStore {
    pub shared: Rc<SharedStore>,
    pub clock: Rc<dyn Clock>,
    pub health: Rc<StoreHealth>,
    pub path: Cell<Path>,
    /// The time of one direction of a call.
    pub latency: Duration,
}

impl FakeStore {
    pub fn new(
        shared: Rc<SharedStore>,
        clock: Rc<dyn Clock>,
        latency: Duration,
    ) -> Rc<Self> {
        Rc::new(Self {
            shared,
            clock,
            health: Rc::default(),
            path: Cell::default(),
            latency,
        })
    }

    async fn travel(&self) -> Result<(), StoreError> {
        if self.path.get() == Path::Cut || self.shared.is_down.get() {
            self.clock.sleep(CALL_TIMEOUT).await;
            self.health.record_direct_failure();
            return Err(StoreError::Unknown("no answer".to_owned()));
        }
        self.clock.sleep(self.latency).await;
        Ok(())
    }

    async fn answer<T>(
        &self,
        result: Result<T, StoreError>,
        started_at: Option<Millis>,
    ) -> Result<T, StoreError> {
        self.travel().await?;
        let now = self.clock.now();
        match self.path.get() {
            Path::Relayed => {
                self.health.record_direct_failure();
                self.health.record_relayed(now);
            }
            Path::Direct | Path::Cut => {
                self.health.record_direct(now);
                if let Some(at) = started_at {
                    self.health.record_duration(now.since(at));
                }
            }
        }
        result
    }

    fn count<F>(
        &self,
        topic: &str,
        add: F,
    ) where
        F: FnOnce(&mut CallCounts),
    {
        if topic.ends_with("claims") {
            let mut counts = self.shared.counts.get();
            add(&mut counts);
            self.shared.counts.set(counts);
        }
    }
}

impl KeyedStore for FakeStore {
    fn newest_page<'a>(
        &'a self,
        topic: &'a str,
        _after: Option<&'a str>,
        _transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        Box::pin(async move {
            let started_at = self.clock.now();
            self.count(topic, |c| c.claim_reads += 1);
            self.travel().await?;
            let page = self.shared.model.borrow_mut().newest(topic);
            self.answer(Ok(page), Some(started_at)).await
        })
    }

    fn read_page<'a>(
        &'a self,
        range: ReadRange<'a>,
        _transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        Box::pin(async move {
            self.travel().await?;
            let ReadRange {
                topic, from, wait, ..
            } = range;
            let deadline = self.clock.now() + wait.into();
            loop {
                let page = self.shared.model.borrow_mut().read(topic, from);
                let is_empty = page.as_ref().is_ok_and(|p| p.records.is_empty());
                if !is_empty || self.clock.now() >= deadline {
                    return self.answer(page, None).await;
                }
                self.clock.sleep(READ_POLL).await;
            }
        })
    }

    fn append<'a>(
        &'a self,
        topic: &'a str,
        records: &'a [KeyedRecord],
        condition: Condition,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            let started_at = self.clock.now();
            self.count(topic, |c| c.claims += 1);
            self.travel().await?;
            let result = self
                .shared
                .model
                .borrow_mut()
                .append(topic, records, condition);
            self.answer(result, Some(started_at)).await
        })
    }
}
