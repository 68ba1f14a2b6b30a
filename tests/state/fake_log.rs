//! A log in memory whose faults tests switch.

use limpetquay::{
    prelude::*,
    process::{
        clock::with_timeout,
        platform::{Batch, LogError, LogRecord, Offset, PlatformLog},
        stand_in::{LogLimits, LogRecords},
    },
};

/// What happens to the next append.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AppendFault {
    /// It takes effect and its answer is lost.
    LostAfter,
    /// It takes no effect and its answer is lost.
    LostBefore,
    /// Its answer is lost and it takes effect later, after this many milliseconds.
    Late(u64),
    /// It takes effect twice.
    Doubled,
}

/// What all clients of the log share.
pub struct FakeLog {
    clock: Rc<dyn Clock>,
    kept: RefCell<LogRecords>,
    /// Every record that the log ever took.
    pub history: RefCell<Vec<LogRecord>>,
    pub down: std::cell::Cell<bool>,
    pub slow_ms: std::cell::Cell<u64>,
    pub next_append: std::cell::Cell<Option<AppendFault>>,
    /// How long a record is kept, when it is not kept for ever.
    pub retention: std::cell::Cell<Option<Duration>>,
    appended: event_listener::Event,
}

/// The log as one process reaches it.
pub struct FakeClient {
    pub log: Rc<FakeLog>,
    pub cut: Rc<std::cell::Cell<bool>>,
}

impl FakeLog {
    pub fn new(clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            kept: RefCell::default(),
            history: RefCell::default(),
            down: Default::default(),
            slow_ms: Default::default(),
            next_append: Default::default(),
            retention: Default::default(),
            appended: event_listener::Event::new(),
        })
    }

    fn store(
        &self,
        records: Vec<Bytes>,
    ) -> Offset {
        let wall = self.clock.wall_time();
        let mut kept = self.kept.borrow_mut();
        let first = kept.append(wall, records.clone());
        let stored = (first.0..).zip(records).map(|(offset, data)| LogRecord {
            offset: Offset(offset),
            appended_ms: wall.0,
            data,
        });
        self.history.borrow_mut().extend(stored);
        self.appended.notify(usize::MAX);
        first
    }

    /// Drops all records below an offset.
    pub fn drop_below(
        &self,
        offset: Offset,
    ) {
        let mut kept = self.kept.borrow_mut();
        let limits = LogLimits {
            max_records: (kept.end().0.saturating_sub(offset.0)) as usize,
            ..LogLimits::default()
        };
        kept.expire(self.clock.wall_time(), &limits);
    }

    async fn append(
        self: Rc<Self>,
        records: Vec<Bytes>,
    ) -> Result<Offset, LogError> {
        self.delay().await;
        if self.down.get() {
            return Err(LogError::Unavailable);
        }
        match self.next_append.take() {
            None => Ok(self.store(records)),
            Some(AppendFault::Doubled) => {
                self.store(records.clone());
                Ok(self.store(records))
            }
            Some(AppendFault::LostAfter) => {
                self.store(records);
                Err(LogError::AnswerLost)
            }
            Some(AppendFault::LostBefore) => Err(LogError::AnswerLost),
            Some(AppendFault::Late(ms)) => {
                let log = self.clone();
                compio::runtime::spawn(async move {
                    log.clock.sleep(Duration::from_millis(ms)).await;
                    log.store(records);
                })
                .detach();
                Err(LogError::AnswerLost)
            }
        }
    }

    async fn read(
        &self,
        from: Offset,
        wait: Duration,
    ) -> Result<Batch, LogError> {
        self.delay().await;
        let record = async {
            loop {
                let appended = self.appended.listen();
                if self.kept.borrow().end() > from {
                    return;
                }
                appended.await;
            }
        };
        with_timeout(&*self.clock, wait, record).await;
        if self.down.get() {
            return Err(LogError::Unavailable);
        }
        let mut kept = self.kept.borrow_mut();
        if let Some(retention) = self.retention.get() {
            let limits = LogLimits {
                retention,
                ..LogLimits::default()
            };
            kept.expire(self.clock.wall_time(), &limits);
        }
        Ok(kept.read(from))
    }

    async fn delay(&self) {
        let ms = self.slow_ms.get();
        if ms > 0 {
            self.clock.sleep(Duration::from_millis(ms)).await;
        }
    }
}

impl PlatformLog for FakeClient {
    fn append(
        &self,
        records: Vec<Bytes>,
    ) -> LocalBoxFuture<'_, Result<Offset, LogError>> {
        Box::pin(async move {
            if self.cut.get() {
                return Err(LogError::Unavailable);
            }
            self.log.clone().append(records).await
        })
    }

    fn read(
        &self,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, LogError>> {
        Box::pin(async move {
            if self.cut.get() {
                return Err(LogError::Unavailable);
            }
            let batch = self.log.read(from, wait).await?;
            if self.cut.get() {
                return Err(LogError::Unavailable);
            }
            Ok(batch)
        })
    }
}
