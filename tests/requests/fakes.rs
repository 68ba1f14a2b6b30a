//! In-memory log and workers with configurable failures.

use {
    event_listener::Event,
    limpetquay::{
        prelude::*,
        process::{
            clock::with_timeout,
            platform::{
                Batch, LogError, LogRecord, Offset, PlatformLog, RunAnswer, RunCall, TaskId,
                TaskStart, TaskState, Worker, WorkerError,
            },
        },
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
    },
};

/// Behaviour of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogMode {
    #[default]
    Up,
    /// It is unreachable.
    Down,
    /// Appends take effect, but their answers are lost.
    LosesAnswers,
    /// Appends take effect seconds later, and their answers are lost.
    Slow,
}

/// Duration of a slow append.
const SLOW_APPEND: Duration = Duration::from_secs(4);

/// The log that all entries share.
pub struct FakeLog {
    pub clock: Rc<dyn Clock>,
    pub mode: Cell<LogMode>,
    records: RefCell<Vec<LogRecord>>,
    appended: Event,
}

impl FakeLog {
    pub fn new(clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            mode: Cell::default(),
            records: RefCell::default(),
            appended: Event::new(),
        })
    }

    fn push(
        &self,
        batch: Vec<Bytes>,
    ) -> Offset {
        let mut records = self.records.borrow_mut();
        let first = Offset(records.len() as u64);
        for data in batch {
            let offset = Offset(records.len() as u64);
            let appended_ms = self.clock.wall_time().0;
            records.push(LogRecord {
                offset,
                appended_ms,
                data,
            });
        }
        drop(records);
        self.appended.notify(usize::MAX);
        first
    }
}

impl PlatformLog for FakeLog {
    fn append(
        &self,
        batch: Vec<Bytes>,
    ) -> LocalBoxFuture<'_, Result<Offset, LogError>> {
        Box::pin(async move {
            self.clock.sleep(Duration::from_millis(3)).await;
            match self.mode.get() {
                LogMode::Up => Ok(self.push(batch)),
                LogMode::Down => Err(LogError::Unavailable),
                LogMode::LosesAnswers => {
                    self.push(batch);
                    Err(LogError::AnswerLost)
                }
                LogMode::Slow => {
                    self.clock.sleep(SLOW_APPEND).await;
                    self.push(batch);
                    Err(LogError::AnswerLost)
                }
            }
        })
    }

    fn read(
        &self,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, LogError>> {
        Box::pin(async move {
            self.clock.sleep(Duration::from_millis(1)).await;
            let appended = self.appended.listen();
            if from.0 as usize >= self.records.borrow().len() {
                with_timeout(&*self.clock, wait, appended).await;
            }
            if self.mode.get() == LogMode::Down {
                return Err(LogError::Unavailable);
            }
            let records = self.records.borrow();
            Ok(Batch {
                records: records.iter().skip(from.0 as usize).cloned().collect(),
                first: Offset(0),
                end: Offset(records.len() as u64),
            })
        })
    }
}

/// Behaviour of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerMode {
    #[default]
    Healthy,
    /// It cannot be reached.
    Unreachable,
    /// It runs requests and loses the answers.
    LosesAnswers,
    /// It answers with status 500.
    Fails,
    /// It takes ten times as long.
    Slow,
    /// Its answers carry the identifier of another request.
    MismatchedId,
}

/// The upstreams that ran each request.
pub type Runs = Rc<RefCell<BTreeMap<RequestId, Vec<UpstreamName>>>>;

/// The worker of one upstream.
pub struct FakeWorker {
    pub clock: Rc<dyn Clock>,
    pub name: UpstreamName,
    pub mode: Cell<WorkerMode>,
    pub runs: Runs,
    running: Cell<u32>,
    pub peak_running: Cell<u32>,
}

/// Counts a running request until it is dropped, also when its guard is killed.
struct Running<'a>(&'a FakeWorker);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl FakeWorker {
    pub fn new(
        clock: Rc<dyn Clock>,
        name: UpstreamName,
        runs: Runs,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            name,
            mode: Cell::default(),
            runs,
            running: Cell::new(0),
            peak_running: Cell::new(0),
        })
    }

    fn start_run(
        &self,
        id: RequestId,
    ) -> Running<'_> {
        let mut runs = self.runs.borrow_mut();
        runs.entry(id).or_default().push(self.name.clone());
        self.running.set(self.running.get() + 1);
        self.peak_running
            .set(self.peak_running.get().max(self.running.get()));
        Running(self)
    }

    async fn run_call(
        &self,
        call: RunCall,
    ) -> Result<RunAnswer, WorkerError> {
        let mode = self.mode.get();
        if mode == WorkerMode::Unreachable {
            return Err(WorkerError::NotReached);
        }
        let _running = self.start_run(call.id);
        let poison = call.body.starts_with(b"poison");
        let run_ms = 5 + u64::from(call.body.last().copied().unwrap_or(0) % 50);
        let factor = if mode == WorkerMode::Slow { 10 } else { 1 };
        self.clock
            .sleep(Duration::from_millis(run_ms * factor))
            .await;
        let mut answer = RunAnswer {
            id: call.id,
            status: 200,
            body: [b"answer to ", &call.body[..]].concat().into(),
        };
        match mode {
            WorkerMode::LosesAnswers => return Err(WorkerError::AnswerLost("cut".into())),
            _ if poison => return Err(WorkerError::AnswerLost("killed".into())),
            WorkerMode::Fails => answer.status = 500,
            WorkerMode::MismatchedId => answer.id.sequence += 1_000_000,
            _ => {}
        }
        Ok(answer)
    }
}

impl Worker for FakeWorker {
    fn run(
        &self,
        call: RunCall,
    ) -> LocalBoxFuture<'_, Result<RunAnswer, WorkerError>> {
        Box::pin(self.run_call(call))
    }

    fn start(
        &self,
        _task: TaskStart,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>> {
        Box::pin(async { Err(WorkerError::NotReached) })
    }

    fn renew(
        &self,
        _id: TaskId,
        _wait: Duration,
    ) -> LocalBoxFuture<'_, Result<TaskState, WorkerError>> {
        Box::pin(async { Err(WorkerError::NotReached) })
    }

    fn checkpoint(
        &self,
        _id: TaskId,
    ) -> LocalBoxFuture<'_, Result<u64, WorkerError>> {
        Box::pin(async { Err(WorkerError::NotReached) })
    }

    fn throttle(
        &self,
        _id: TaskId,
        _percent: u32,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>> {
        Box::pin(async { Err(WorkerError::NotReached) })
    }

    fn stop(
        &self,
        _id: TaskId,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>> {
        Box::pin(async { Err(WorkerError::NotReached) })
    }
}
