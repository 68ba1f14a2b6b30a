//! An in-memory platform log that simulates outages and lost answers.

use {
    super::node::Node,
    event_listener::Event,
    limpetquay::{
        prelude::*,
        process::{
            clock::with_timeout,
            platform::{Batch, LogError, LogRecord, Offset, PlatformLog},
        },
    },
    std::cell::Cell,
};

#[derive(Default)]
pub struct FakeLog {
    pub is_unavailable: Cell<bool>,
    pub drops_answers: Cell<bool>,
    records: RefCell<Vec<LogRecord>>,
    changed: Event,
}

/// The connection of one process to the log.
pub struct LogHandle {
    pub log: Rc<FakeLog>,
    pub node: Rc<Node>,
}

impl FakeLog {
    fn append(
        &self,
        records: Vec<Bytes>,
    ) -> Offset {
        let mut all = self.records.borrow_mut();
        let first = Offset(all.len() as u64);
        for data in records {
            let offset = Offset(all.len() as u64);
            all.push(LogRecord {
                offset,
                appended_ms: 0,
                data,
            });
        }
        self.changed.notify(usize::MAX);
        first
    }

    fn read(
        &self,
        from: Offset,
    ) -> Batch {
        let all = self.records.borrow();
        let new = all.iter().skip(from.0 as usize);
        Batch {
            records: new.cloned().collect(),
            first: Offset(0),
            end: Offset(all.len() as u64),
        }
    }
}

impl PlatformLog for LogHandle {
    fn append(
        &self,
        records: Vec<Bytes>,
    ) -> LocalBoxFuture<'_, Result<Offset, LogError>> {
        Box::pin(async move {
            self.node.wait_until_running().await;
            self.node.clock.sleep(Duration::from_millis(5)).await;
            if self.log.is_unavailable.get() {
                return Err(LogError::Unavailable);
            }
            let first = self.log.append(records);
            self.node.wait_until_running().await;
            if self.log.drops_answers.get() {
                return Err(LogError::AnswerLost);
            }
            Ok(first)
        })
    }

    fn read(
        &self,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, LogError>> {
        Box::pin(async move {
            self.node.wait_until_running().await;
            let changed = self.log.changed.listen();
            if !self.log.is_unavailable.get() && self.log.read(from).records.is_empty() {
                with_timeout(&*self.node.clock, wait, changed).await;
            }
            self.node.wait_until_running().await;
            if self.log.is_unavailable.get() {
                return Err(LogError::Unavailable);
            }
            Ok(self.log.read(from))
        })
    }
}
