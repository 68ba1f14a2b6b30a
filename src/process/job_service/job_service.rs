//! An entry's dealings with callers, apart from how calls are encoded.

use {
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{Condition, Ledger, LedgerFold, LedgerKey, LedgerRecord, StoreError},
            metrics::FleetMetrics,
        },
        request::{JobPhase, StepJob, StepJobId},
        version::{QueueName, QueueTable},
    },
    derive_more::{Display, Error},
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    std::cell::Cell,
};

/// The oldest view on which an unknown job is said not to exist.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2500);

/// How long the store may not have been read before submissions are rejected unsent: the wait of one
/// read and the answer of a slow store.
const MAX_SUBMIT_VIEW_AGE: Duration = Duration::from_millis(1700);

/// How long a record is tried to be stored. A caller that is told then that the outcome is not known
/// has time left to ask another entry.
const MAX_STORE_TIME: Duration = Duration::from_millis(1400);

/// The pause before a refused append is tried again.
const APPEND_RETRY: Duration = Duration::from_millis(120);

/// How often an append that the store refuses is tried before the caller is told to come back.
const MAX_REFUSALS: u32 = 3;

/// Why a call brought no result.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum DeskError {
    /// There is no such job.
    #[display("there is no such job")]
    Gone,
    /// The store took nothing, so the call had no effect and never will.
    #[display("the store is not available")]
    NotStored,
    /// The view is too old to tell.
    #[display("the view of the ledger is too old")]
    Stale,
    /// The call may have had its effect.
    #[display("the outcome is not known")]
    Unknown,
}

/// What an entry needs to deal with callers.
pub struct JobService {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The ledger.
    pub ledger: Rc<Ledger>,
    /// The queues in force.
    pub table: Rc<RefCell<Option<Rc<QueueTable>>>>,
    /// Whether the process is stopping.
    pub is_stopping: Cell<bool>,
    /// The metrics.
    pub metrics: Rc<FleetMetrics>,
}

impl JobService {
    /// Returns the queues in force.
    pub fn table(&self) -> Option<Rc<QueueTable>> {
        self.table.borrow().clone()
    }

    /// Tells whether callers are served well here.
    pub fn is_ready(&self) -> bool {
        let is_fresh = self.ledger.age().is_some_and(|age| age < MAX_VIEW_AGE);
        !self.is_stopping.get() && is_fresh && self.table.borrow().is_some()
    }

    /// Stores a job. A job that is known already is accepted again and runs once.
    ///
    /// # Errors
    /// [`DeskError::NotStored`] when the job will never run, [`DeskError::Unknown`] when it may.
    pub async fn submit(
        &self,
        job: StepJob,
        time: Duration,
    ) -> Result<(), DeskError> {
        let began = self.clock.now();
        let result = self.submit_once(job, time).await;
        let outcome = match &result {
            Ok(()) => "accepted",
            Err(DeskError::NotStored) => "rejected",
            Err(DeskError::Unknown) => "unknown",
            Err(DeskError::Gone | DeskError::Stale) => "failed",
        };
        self.metrics.submissions.with_label_values(&[outcome]).inc();
        let took = self.clock.now().since(began);
        self.metrics.submission_seconds.observe(took.as_secs_f64());
        result
    }

    async fn submit_once(
        &self,
        job: StepJob,
        time: Duration,
    ) -> Result<(), DeskError> {
        let id = job.id;
        if self.ledger.view(|f| f.jobs.contains_key(&id)) {
            tracing::info!(job = %id, "job was accepted before");
            return Ok(());
        }
        if self.is_store_unresponsive() {
            // Nothing was sent to the store for this call, so the job cannot run by it.
            let age = self.ledger.age();
            tracing::info!(job = %id, view_age = ?age, "job rejected: the store is away");
            return Err(DeskError::NotStored);
        }
        let (queue, account) = (job.queue.clone(), job.account.clone());
        let subtasks: u32 = job.steps.iter().map(|s| s.count).sum();
        let is_stored = |f: &LedgerFold| f.jobs.contains_key(&id);
        let result = self
            .store(
                &LedgerKey::Job(id),
                &LedgerRecord::Job(job),
                time,
                is_stored,
            )
            .await;
        tracing::info!(job = %id, %queue, %account, subtasks, outcome = ?result, "job submitted");
        result
    }

    /// Stores that a job is cancelled.
    ///
    /// # Errors
    /// [`DeskError`]; after [`DeskError::NotStored`] the job runs on.
    pub async fn cancel(
        &self,
        id: StepJobId,
        time: Duration,
    ) -> Result<(), DeskError> {
        let phase = self.phase(id);
        if phase.is_ok_and(JobPhase::is_final) {
            return Ok(());
        }
        phase?;
        let record = LedgerRecord::Cancel(self.clock.wall().0);
        let is_stored = |f: &LedgerFold| f.jobs.get(&id).is_some_and(|v| v.is_cancelled);
        let key = LedgerKey::Cancel(id);
        let result = self.store(&key, &record, time, is_stored).await;
        tracing::info!(job = %id, ?phase, outcome = ?result, "cancelling requested");
        result
    }

    /// Returns where a job stands.
    ///
    /// # Errors
    /// [`DeskError::Gone`] for a job that does not exist, [`DeskError::Stale`] when that is not
    /// known here.
    pub fn phase(
        &self,
        id: StepJobId,
    ) -> Result<JobPhase, DeskError> {
        if let Some(phase) = self.ledger.view(|f| f.jobs.get(&id).map(|v| v.phase())) {
            return Ok(phase);
        }
        match self.ledger.age() {
            Some(age) if age < MAX_VIEW_AGE => Err(DeskError::Gone),
            _ => Err(DeskError::Stale),
        }
    }

    /// Counts the jobs of a queue of which nothing has started.
    pub fn pending_jobs(
        &self,
        queue: &QueueName,
    ) -> usize {
        self.ledger.view(|f| f.pending_jobs(queue))
    }

    /// Tells whether the store has not answered for so long that a call would wait in vain.
    fn is_store_unresponsive(&self) -> bool {
        self.ledger
            .age()
            .is_none_or(|age| age >= MAX_SUBMIT_VIEW_AGE)
    }

    /// Stores a record that means the same however often it is stored. It counts as stored when the
    /// store says so or when it is read back.
    async fn store<F>(
        &self,
        key: &LedgerKey,
        record: &LedgerRecord,
        time: Duration,
        is_stored: F,
    ) -> Result<(), DeskError>
    where
        F: Fn(&LedgerFold) -> bool,
    {
        let start = self.clock.now();
        let time = time.min(MAX_STORE_TIME);
        let mut may_be_stored = false;
        let mut refusals = 0;
        loop {
            let left = time.saturating_sub(self.clock.now().since(start));
            if left.is_zero() && !may_be_stored {
                return Err(DeskError::NotStored);
            }
            match self.try_store(key, record, left, &is_stored).await {
                Ok(()) => return Ok(()),
                Err(StoreError::Refused(why)) => {
                    refusals += 1;
                    tracing::info!(%key, why, refusals, may_be_stored, "the store refused a record");
                }
                Err(e) => {
                    may_be_stored = true;
                    tracing::warn!(%key, error = %e, "it is not known whether a record is stored");
                }
            }
            let is_over = self.clock.now().since(start) + APPEND_RETRY >= time;
            if !may_be_stored && (refusals >= MAX_REFUSALS || is_over) {
                return Err(DeskError::NotStored);
            }
            if is_over {
                return Err(DeskError::Unknown);
            }
            self.clock.sleep(APPEND_RETRY).await;
        }
    }

    async fn try_store<F>(
        &self,
        key: &LedgerKey,
        record: &LedgerRecord,
        left: Duration,
        is_stored: &F,
    ) -> Result<(), StoreError>
    where
        F: Fn(&LedgerFold) -> bool,
    {
        let putting = self.ledger.put(key, record, Condition::Always);
        let reading = self.ledger.wait_until(is_stored);
        pin_mut!(putting, reading);
        let either = select(putting, reading);
        match with_timeout(&*self.clock, left, either).await {
            Some(Either::Left((result, _))) => result.map(drop),
            Some(Either::Right(_)) => Ok(()),
            None => Err(StoreError::Unknown("the time for the call is over".into())),
        }
    }
}
