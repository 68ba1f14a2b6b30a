//! An entry's service for callers' jobs, independent of the encoding of calls.

use {
    super::EarlyCancellations,
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            config_view::ConfigView,
            ledger::{
                Condition, KeyedRecord, Ledger, LedgerFold, LedgerKey, LedgerRecord, StoreError,
            },
            limits::{HeldSubmission, SubmissionBudget, admits_job},
            metrics::PlatformMetrics,
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

/// The maximum age of the ledger's state at which an unknown job is reported not to exist, pending
/// jobs are counted, and the entry is ready.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2500);

/// The age of the ledger's state from which submissions are rejected without a call to the store:
/// the wait of one read and the response time of a slow store.
const MAX_SUBMIT_VIEW_AGE: Duration = Duration::from_millis(1700);

/// The maximum time for which storing a record is attempted. A caller that then learns that the
/// outcome is unknown has time left to call another entry.
const MAX_STORE_TIME: Duration = Duration::from_millis(1400);

/// How long the cancellation of an unread job waits until it is read back, which shows whether the job
/// had been stored before.
const MAX_READ_BACK_TIME: Duration = Duration::from_millis(500);

/// The pause before an unsuccessful append is retried.
const APPEND_RETRY: Duration = Duration::from_millis(120);

/// The number of refusals of an append after which the caller is asked to retry later.
const MAX_REFUSALS: u32 = 3;

/// How many copies of its record a submission holds at most while it is being stored: the record, the
/// append, the frame of a relayed append, and the buffers of the connections.
const RECORD_COPIES: usize = 4;

/// How many times longer than the slowest refusal so far the next one may take.
const REFUSAL_MARGIN: u32 = 2;

/// Why a caller's call failed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum DeskError {
    /// The job was cancelled before it was accepted, so it never runs.
    #[display("the job was cancelled before it was accepted")]
    CancelledEarly,
    /// The job does not exist.
    #[display("there is no such job")]
    Gone,
    /// The store accepted nothing, so the call had no effect and never will have one.
    #[display("the store is not available")]
    NotStored,
    /// The entries have no memory for the job, so the call had no effect and never will have one.
    #[display("too many jobs are in progress")]
    Overloaded,
    /// The entry's view of the ledger is too old to answer the call.
    #[display("the view of the ledger is too old")]
    Stale,
    /// The job or its progress does not fit into the store, so the job never runs.
    #[display("the job is too large for the store")]
    TooLarge,
    /// Too many unknown jobs were cancelled lately, so the call had no effect and never will have one.
    #[display("too many unknown jobs were cancelled")]
    TooManyCancellations,
    /// The call may have had its effect.
    #[display("the outcome is not known")]
    Unknown,
}

/// The service by which an entry accepts, cancels and reports jobs.
pub struct JobService {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The ledger.
    pub ledger: Rc<Ledger>,
    /// The configuration in force.
    pub config: Rc<ConfigView>,
    /// Whether the process is stopping.
    pub is_stopping: Cell<bool>,
    /// The metrics.
    pub metrics: Rc<PlatformMetrics>,
    /// The limit on submissions that are being stored.
    pub submissions: Rc<SubmissionBudget>,
    /// The bytes of jobs that this entry can hold.
    pub max_job_bytes: usize,
    /// The cancellations of jobs that this entry has not read.
    pub early_cancellations: EarlyCancellations,
}

impl JobService {
    /// Returns the queues and accounts of the configuration in force, once one is known.
    pub fn queue_table(&self) -> Option<Rc<QueueTable>> {
        self.config.table()
    }

    /// Returns whether the entry can serve callers: it has a configuration and a recent view of the
    /// ledger, and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.has_recent_view() && self.config.table().is_some()
    }

    /// Stores a job within `time`. A job that was accepted before is accepted again and runs once.
    ///
    /// # Errors
    /// Returns [`DeskError::TooLarge`] if the job does not fit into the store,
    /// [`DeskError::NotStored`] or [`DeskError::Overloaded`] if this call will not make the job run, and
    /// [`DeskError::Unknown`] if the job may run.
    pub async fn submit(
        &self,
        job: StepJob,
        time: Duration,
    ) -> Result<(), DeskError> {
        let began = self.clock.now();
        let result = self.submit_once(job, time).await;
        let outcome = match &result {
            Ok(()) => "accepted",
            Err(
                DeskError::CancelledEarly
                | DeskError::NotStored
                | DeskError::Overloaded
                | DeskError::TooLarge,
            ) => "rejected",
            Err(DeskError::Unknown) => "unknown",
            Err(DeskError::Gone | DeskError::Stale | DeskError::TooManyCancellations) => "failed",
        };
        self.metrics.submissions.with_label_values(&[outcome]).inc();
        let elapsed = self.clock.now().since(began);
        self.metrics
            .submission_seconds
            .observe(elapsed.as_secs_f64());
        result
    }

    async fn submit_once(
        &self,
        job: StepJob,
        time: Duration,
    ) -> Result<(), DeskError> {
        let id = job.id;
        if self.ledger.view(|f| f.is_cancelled_early(id)) {
            tracing::info!(job = %id, "job rejected: it was cancelled before");
            return Err(DeskError::CancelledEarly);
        }
        if self.ledger.view(|f| f.jobs.contains_key(&id)) {
            tracing::info!(job = %id, "job has already been accepted");
            return Ok(());
        }
        let key = LedgerKey::Job(id);
        let (queue, account) = (job.queue.clone(), job.account.clone());
        let subtasks: u32 = job.steps.iter().map(|s| s.count).sum();
        let job_bytes = job.memory_bytes();
        let record = match self.check_and_encode(&key, job) {
            Ok(record) => record,
            Err(e) => {
                tracing::info!(job = %id, error = %e, "job rejected");
                return Err(DeskError::TooLarge);
            }
        };
        if self.is_store_unresponsive() {
            // This call has sent nothing to the store, so it cannot make the job run.
            let age = self.ledger.age();
            tracing::info!(job = %id, view_age = ?age, "job rejected: the store is away");
            return Err(DeskError::NotStored);
        }
        let Some(held) = self.admit(job_bytes, record.size()) else {
            tracing::info!(job = %id, job_bytes, record_bytes = record.size(), "job rejected: no memory is left for it");
            return Err(DeskError::Overloaded);
        };
        let is_stored = |f: &LedgerFold| f.jobs.contains_key(&id);
        let result = self.store(&[record], time, is_stored).await;
        if matches!(result, Ok(()) | Err(DeskError::Unknown)) {
            held.hold_until_read(id, self.clock.now());
        }
        tracing::info!(job = %id, %queue, %account, subtasks, outcome = ?result, "job submitted");
        result
    }

    /// Reserves the memory of a submission, at this entry while it is stored and at all entries afterwards.
    /// Returns `None` if there is none.
    fn admit(
        &self,
        job_bytes: usize,
        record_bytes: usize,
    ) -> Option<HeldSubmission> {
        let (held, least) = self.ledger.view(|f| {
            let is_read = |id| f.jobs.contains_key(&id);
            self.submissions.release_read(self.clock.now(), is_read);
            (f.job_bytes(), f.min_job_bytes())
        });
        let held = held.saturating_add(self.submissions.held());
        let least = least.map_or(usize::MAX, |bytes| bytes as usize);
        if !admits_job(job_bytes, held, least.min(self.max_job_bytes)) {
            return None;
        }
        self.submissions
            .admit(job_bytes + RECORD_COPIES * record_bytes)
    }

    /// Encodes a job that the store can hold with its progress. Its decoded form, which takes several times the
    /// memory, is dropped.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the job or its progress is too large.
    fn check_and_encode(
        &self,
        key: &LedgerKey,
        job: StepJob,
    ) -> Result<KeyedRecord, StoreError> {
        let content = LedgerRecord::Job(job);
        let record = key.record(&content);
        let record = record.map_err(|e| StoreError::Rejected(e.to_string()))?;
        if let LedgerRecord::Job(job) = &content {
            self.ledger.limits().check_job(job, &record)?;
        }
        Ok(record)
    }

    /// Stores the cancellation of a job within `time`, for a caller of an account. A job that has
    /// ended stays as it is.
    ///
    /// # Errors
    /// Returns a [`DeskError`]. After [`DeskError::NotStored`] and
    /// [`DeskError::TooManyCancellations`] the job is not cancelled; after [`DeskError::Gone`] it never
    /// runs, even if its submission is stored later.
    pub async fn cancel(
        &self,
        id: StepJobId,
        account: &AccountName,
        time: Duration,
    ) -> Result<(), DeskError> {
        let phase = self.phase(id);
        match phase {
            Ok(phase) if phase.is_final() => return Ok(()),
            Ok(_) => {}
            Err(DeskError::Gone) => {
                let result = self.cancel_unread(id, account, time).await;
                tracing::info!(job = %id, %account, outcome = ?result, "unread job cancelled");
                return result;
            }
            Err(e) => return Err(e),
        }
        let record = self.cancellation(id)?;
        let is_stored = |f: &LedgerFold| f.jobs.get(&id).is_some_and(|v| v.is_cancelled);
        let result = self.store(&[record], time, is_stored).await;
        tracing::info!(job = %id, ?phase, outcome = ?result, "job cancellation requested");
        result
    }

    /// Cancels a job that is not in the view of the ledger. It may be stored already, or an append of
    /// it may be carried out later, also by another entry or after the end of this one. So the
    /// cancellation is stored, before or after the job.
    ///
    /// # Errors
    /// Returns [`DeskError::Gone`] once the job is known not to be stored, and never to run if it is
    /// stored later.
    async fn cancel_unread(
        &self,
        id: StepJobId,
        account: &AccountName,
        time: Duration,
    ) -> Result<(), DeskError> {
        if self.ledger.view(|f| f.is_cancelled_early(id)) {
            return Err(DeskError::Gone);
        }
        let entries = self.ledger.view(LedgerFold::entry_count);
        let now = self.clock.now();
        let added = self.early_cancellations.add(id, account, entries, now);
        let Some(stored) = added else {
            tracing::info!(job = %id, %account, "cancellation rejected: too many of unknown jobs");
            return Err(DeskError::TooManyCancellations);
        };
        match with_timeout(&*self.clock, time, stored).await {
            Some(Ok(result)) => result?,
            Some(Err(_)) | None => return Err(DeskError::Unknown),
        }
        let is_read = |f: &LedgerFold| f.jobs.contains_key(&id) || f.is_cancelled_early(id);
        let reading = self.ledger.wait_until(&is_read);
        let is_read = with_timeout(&*self.clock, MAX_READ_BACK_TIME, reading).await;
        let is_known = self.ledger.view(|f| f.jobs.contains_key(&id));
        if is_read.is_some() && !is_known {
            return Err(DeskError::Gone);
        }
        Ok(())
    }

    /// Stores the cancellations of unread jobs that callers wait for, several at a time, forever.
    pub async fn store_early_cancellations(self: Rc<Self>) {
        loop {
            let batch = self.early_cancellations.next_batch(&*self.clock).await;
            let result = self.store_cancellations(batch.iter().map(|c| c.id)).await;
            tracing::info!(jobs = batch.len(), outcome = ?result, "cancellations of unread jobs stored");
            let now = self.clock.now();
            self.early_cancellations.finish(batch, result, now);
        }
    }

    async fn store_cancellations<I>(
        &self,
        ids: I,
    ) -> Result<(), DeskError>
    where
        I: Iterator<Item = StepJobId> + Clone,
    {
        let records = ids.clone().map(|id| self.cancellation(id));
        let records: Vec<KeyedRecord> = records.collect::<Result<_, _>>()?;
        let is_cancelled = |f: &LedgerFold, id| f.jobs.get(&id).is_some_and(|v| v.is_cancelled);
        let is_stored = |f: &LedgerFold| {
            let mut ids = ids.clone();
            ids.all(|id| is_cancelled(f, id) || f.is_cancelled_early(id))
        };
        self.store(&records, MAX_STORE_TIME, is_stored).await
    }

    /// Returns the record of a cancellation.
    fn cancellation(
        &self,
        id: StepJobId,
    ) -> Result<KeyedRecord, DeskError> {
        let content = LedgerRecord::Cancel(self.clock.wall_time().0);
        let key = LedgerKey::Cancel(id);
        key.record(&content).map_err(|e| {
            tracing::error!(%key, error = %e, "the cancellation cannot be encoded");
            DeskError::NotStored
        })
    }

    /// Returns the phase of a job.
    ///
    /// # Errors
    /// Returns [`DeskError::Gone`] if the job does not exist, and [`DeskError::Stale`] if the view
    /// of the ledger is too old to know.
    pub fn phase(
        &self,
        id: StepJobId,
    ) -> Result<JobPhase, DeskError> {
        if let Some(phase) = self.ledger.view(|f| f.jobs.get(&id).map(|v| v.phase())) {
            return Ok(phase);
        }
        Err(if self.has_recent_view() {
            DeskError::Gone
        } else {
            DeskError::Stale
        })
    }

    /// Returns the number of jobs of a queue that wait for their first start, without recurring
    /// jobs.
    ///
    /// # Errors
    /// Returns [`DeskError::Stale`] if the view of the ledger is too old, because jobs may have been
    /// accepted since.
    pub fn pending_jobs(
        &self,
        queue: &QueueName,
    ) -> Result<usize, DeskError> {
        if !self.has_recent_view() {
            return Err(DeskError::Stale);
        }
        Ok(self.ledger.view(|f| f.pending_jobs(queue)))
    }

    /// Returns whether the view of the ledger is recent enough to say what it does not hold.
    fn has_recent_view(&self) -> bool {
        self.ledger.age().is_some_and(|age| age < MAX_VIEW_AGE)
    }

    /// Returns whether the store has not answered for so long that another call would be futile.
    fn is_store_unresponsive(&self) -> bool {
        self.ledger
            .age()
            .is_none_or(|age| age >= MAX_SUBMIT_VIEW_AGE)
    }

    /// Stores idempotent records. They count as stored once the store confirms it or once they are
    /// read back from the ledger.
    async fn store<F>(
        &self,
        records: &[KeyedRecord],
        time: Duration,
        is_stored: F,
    ) -> Result<(), DeskError>
    where
        F: Fn(&LedgerFold) -> bool,
    {
        let key = records.first().map(|r| r.key.clone()).unwrap_or_default();
        let start = self.clock.now();
        let time = time.min(MAX_STORE_TIME);
        let mut may_be_stored = false;
        let mut refusals = 0;
        let mut slowest_refusal = Duration::ZERO;
        loop {
            let time_left = time.saturating_sub(self.clock.now().since(start));
            if time_left.is_zero() && !may_be_stored {
                return Err(DeskError::NotStored);
            }
            let tried_at = self.clock.now();
            match self.try_store(records, time_left, &is_stored).await {
                Ok(()) => return Ok(()),
                Err(StoreError::Refused(why)) => {
                    refusals += 1;
                    slowest_refusal = slowest_refusal.max(self.clock.now().since(tried_at));
                    tracing::info!(%key, why, refusals, may_be_stored, "the store refused a record");
                }
                Err(StoreError::Rejected(why)) if !may_be_stored => {
                    tracing::warn!(%key, why, "the store rejects a record");
                    return Err(DeskError::TooLarge);
                }
                Err(e) => {
                    may_be_stored = true;
                    tracing::warn!(%key, error = %e, "it is not known whether a record is stored");
                }
            }
            let retry_begins = self.clock.now().since(start) + APPEND_RETRY;
            let is_time_over = retry_begins >= time;
            // The outcome of an append that is cut off is unknown, also if it would be refused. So
            // none begins that may not end in time.
            let is_retry_cut_off = retry_begins + REFUSAL_MARGIN * slowest_refusal >= time;
            if !may_be_stored && (refusals >= MAX_REFUSALS || is_retry_cut_off) {
                return Err(DeskError::NotStored);
            }
            if is_time_over {
                return Err(DeskError::Unknown);
            }
            self.clock.sleep(APPEND_RETRY).await;
        }
    }

    async fn try_store<F>(
        &self,
        records: &[KeyedRecord],
        time_left: Duration,
        is_stored: &F,
    ) -> Result<(), StoreError>
    where
        F: Fn(&LedgerFold) -> bool,
    {
        let putting = self.ledger.append(records, Condition::Always);
        let reading = self.ledger.wait_until(is_stored);
        pin_mut!(putting, reading);
        let stored = select(putting, reading);
        match with_timeout(&*self.clock, time_left, stored).await {
            Some(Either::Left((result, _))) => result.map(drop),
            Some(Either::Right(_)) => Ok(()),
            None => Err(StoreError::Unknown(
                "the time limit of the call has expired".into(),
            )),
        }
    }
}
