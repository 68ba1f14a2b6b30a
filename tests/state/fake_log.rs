//! In-memory log with injected faults.

use limpetquay::{
    prelude::*,
    process::{
        clock::with_timeout,
        platform::{Batch, LogError, LogRecord, Offset, PlatformLog},
        stand_in::{LogLimits, LogRecords},
    },
};

/// Fault of the next append.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AppendFault {
    /// The append takes effect, but its answer is lost.
    AnswerDropped,
    /// The append takes no effect, and the client gets no answer.
    RequestDropped,
    /// The answer is lost, and the append takes effect after this delay in milliseconds.
    Delayed(u64),
    /// The append takes effect twice.
    Duplicated,
}

/// The log, shared by all its clients.
pub struct FakeLog {
    clock: Rc<dyn Clock>,
    retained: RefCell<LogRecords>,
    /// Every record that was ever stored.
    pub history: RefCell<Vec<LogRecord>>,
    /// Whether all calls fail.
    pub is_down: std::cell::Cell<bool>,
    /// Delay of each call in milliseconds.
    pub delay_ms: std::cell::Cell<u64>,
    /// Fault of the next append, if any.
    pub next_fault: std::cell::Cell<Option<AppendFault>>,
    /// How long a record is retained; without a value records are never dropped.
    pub retention: std::cell::Cell<Option<Duration>>,
    appended: event_listener::Event,
}

/// One process's connection to the log.
pub struct FakeClient {
    pub log: Rc<FakeLog>,
    /// Whether the process cannot reach the log.
    pub is_partitioned: Rc<std::cell::Cell<bool>>,
}

impl FakeLog {
    pub fn new(clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            retained: RefCell::default(),
            history: RefCell::default(),
            is_down: Default::default(),
            delay_ms: Default::default(),
            next_fault: Default::default(),
            retention: Default::default(),
            appended: event_listener::Event::new(),
        })
    }

    fn store(
        &self,
        records: Vec<Bytes>,
    ) -> Offset {
        let wall = self.clock.wall_time();
        let mut retained = self.retained.borrow_mut();
        let first = retained.append(wall, records.clone());
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
        let mut retained = self.retained.borrow_mut();
        let limits = LogLimits {
            max_records: (retained.end_offset().0.saturating_sub(offset.0)) as usize,
            ..LogLimits::default()
        };
        retained.expire(self.clock.wall_time(), &limits);
    }

    async fn append(
        self: Rc<Self>,
        records: Vec<Bytes>,
    ) -> Result<Offset, LogError> {
        self.wait_for_delay().await;
        if self.is_down.get() {
            return Err(LogError::Unavailable);
        }
        match self.next_fault.take() {
            None => Ok(self.store(records)),
            Some(AppendFault::Duplicated) => {
                self.store(records.clone());
                Ok(self.store(records))
            }
            Some(AppendFault::AnswerDropped) => {
                self.store(records);
                Err(LogError::AnswerLost)
            }
            Some(AppendFault::RequestDropped) => Err(LogError::AnswerLost),
            Some(AppendFault::Delayed(ms)) => {
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
        self.wait_for_delay().await;
        let record = async {
            loop {
                let appended = self.appended.listen();
                if self.retained.borrow().end_offset() > from {
                    return;
                }
                appended.await;
            }
        };
        with_timeout(&*self.clock, wait, record).await;
        if self.is_down.get() {
            return Err(LogError::Unavailable);
        }
        let mut retained = self.retained.borrow_mut();
        if let Some(retention) = self.retention.get() {
            let limits = LogLimits {
                retention,
                ..LogLimits::default()
            };
            retained.expire(self.clock.wall_time(), &limits);
        }
        Ok(retained.read(from))
    }

    async fn wait_for_delay(&self) {
        let ms = self.delay_ms.get();
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
            if self.is_partitioned.get() {
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
            if self.is_partitioned.get() {
                return Err(LogError::Unavailable);
            }
            let batch = self.log.read(from, wait).await?;
            if self.is_partitioned.get() {
                return Err(LogError::Unavailable);
            }
            Ok(batch)
        })
    }
}
