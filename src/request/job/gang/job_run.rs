//! Runs one job to its end, under one ownership: places and starts its gang, follows it and starts
//! it again after a failure.

use {
    super::{FollowOutcome, PlacedGang, Start},
    crate::{
        connection::{GangEnd, Refusal},
        prelude::*,
        process::{
            clock::with_timeout,
            entry::Entry,
            job_queue::QueueHandle,
            platform::Term,
            state::{JobEnd, JobRecord, RecordBody},
        },
        request::job::JobSpec,
        version::JobKind,
    },
};

/// The pause before the next start of a job; it doubles with each consecutive start failure.
const MIN_START_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum pause before a job whose starts fail is started again.
const MAX_START_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The pause before the append of a job's end is retried while the log is unavailable.
const RECORD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The age from which a job is searched for running gangs even under its first ownership, because an
/// earlier process of the same entry may have started it.
const MIN_ADOPTION_AGE: Duration = Duration::from_secs(5);

/// The job age per start number, in milliseconds.
const START_NUMBER_UNIT_MS: u64 = 10;

/// Why the task of a job has to stop what it is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Interrupt {
    /// The job was cancelled.
    Cancelled,
    /// The job's end is recorded in the log.
    Ended,
    /// Another entry owns the job.
    Superseded,
}

/// The state of the task that runs one job.
pub(super) struct JobRun {
    pub(super) entry: Rc<Entry>,
    pub(super) spec: JobSpec,
    pub(super) ownership: u32,
    /// The number of the last start under this ownership.
    last_start: u32,
    /// The number of starts whose tasks ran and then failed or were lost.
    failed_run_count: u32,
    /// The number of committed gangs that failed to start since progress was last recorded.
    consecutive_start_failures: u32,
    /// The progress from which the next start resumes, in milliseconds of run time.
    pub(super) progress_ms: u64,
    /// The committed gang.
    pub(super) placed: Option<PlacedGang>,
    /// The job's handle in the queue.
    pub(super) queue_handle: QueueHandle,
    /// When this task began, from which the queue counts the job's wait.
    pub(super) waiting_since: Millis,
}

/// Runs a job to its end under one ownership and records its end. Stops without a record when
/// another entry owns the job or its end is already recorded.
pub async fn run_job(
    entry: Rc<Entry>,
    spec: JobSpec,
    ownership: u32,
) {
    let mut run = JobRun {
        queue_handle: entry.scheduler.register(spec.id),
        waiting_since: entry.clock.now(),
        entry,
        spec,
        ownership,
        last_start: 0,
        failed_run_count: 0,
        consecutive_start_failures: 0,
        progress_ms: 0,
        placed: None,
    };
    let end = run.run_to_end().await;
    run.queue_handle.remove();
    let Some(end) = end else {
        return;
    };
    run.record_end(end).await;
    if let Some(placed) = run.placed.take() {
        placed.release(&run).await;
    }
}

impl JobRun {
    /// Starts the gang until it finishes, is cancelled or has no attempts left; `None` when another
    /// entry owns the job or its end is already recorded.
    async fn run_to_end(&mut self) -> Option<JobEnd> {
        let age = self
            .entry
            .clock
            .wall_time()
            .since(Millis(self.spec.accepted_ms));
        if self.ownership > 1 || age >= MIN_ADOPTION_AGE {
            self.placed = self.adopt().await;
            self.register_adopted();
        }
        loop {
            match self.interrupt() {
                Some(Interrupt::Superseded) => return None,
                Some(Interrupt::Ended) => {
                    self.release_placed().await;
                    return None;
                }
                Some(Interrupt::Cancelled) => {
                    self.release_placed().await;
                    return Some(JobEnd::Cancelled);
                }
                None => {}
            }
            if self.placed.is_none() {
                let Some(kind) = self.kind() else {
                    let reason = format!("the job kind {} was removed", self.spec.kind);
                    return Some(JobEnd::Failed(reason));
                };
                self.try_start(&kind).await;
            }
            if let Some(end) = self.follow_placed().await {
                return Some(end);
            }
            self.wait_before_retry().await;
        }
    }

    /// Returns the number of the next start. It grows with the job's age, so that an entry that
    /// restarted without its memory does not reuse a number.
    fn next_start(&self) -> u32 {
        let age = self
            .entry
            .clock
            .wall_time()
            .since(Millis(self.spec.accepted_ms));
        let number_by_age = Millis::from(age).0 / START_NUMBER_UNIT_MS;
        let number_by_age = u32::try_from(number_by_age).unwrap_or(u32::MAX - 1);
        number_by_age.max(self.last_start) + 1
    }

    /// Returns the job's kind under the document in force.
    pub(super) fn kind(&self) -> Option<JobKind> {
        self.entry
            .document()
            .job_kinds
            .get(&self.spec.kind)
            .cloned()
    }

    /// Tries to place, reserve and commit the gang once.
    async fn try_start(
        &mut self,
        kind: &JobKind,
    ) {
        self.last_start = self.next_start();
        let term = Term {
            ownership: self.ownership,
            start: self.last_start,
        };
        let start = Start {
            entry: &self.entry,
            spec: &self.spec,
            kind,
            term,
        };
        self.placed = start.run(self, self.progress_ms).await;
        if self.placed.is_none() {
            self.queue_handle
                .requeue(Duration::from_millis(self.progress_ms));
        }
    }

    /// Follows the committed gang to its end; returns the job's end when the job ends with it.
    async fn follow_placed(&mut self) -> Option<JobEnd> {
        let outcome = self.placed.as_ref()?.follow(self).await;
        let end = match outcome {
            FollowOutcome::Ended(GangEnd::Finished(result)) => {
                self.queue_handle.finish(self.entry.clock.now());
                return Some(JobEnd::Finished(result));
            }
            FollowOutcome::Ended(end) => self.handle_gang_end(end),
            FollowOutcome::Lost => self.count_failed_run("the lead guard was lost".to_owned()),
            FollowOutcome::Interrupted => return None,
        };
        self.release_placed().await;
        self.queue_handle
            .requeue(Duration::from_millis(self.progress_ms));
        end
    }

    /// Handles the end of a gang without a result; returns the job's end when no attempt is left.
    fn handle_gang_end(
        &mut self,
        end: GangEnd,
    ) -> Option<JobEnd> {
        tracing::info!(
            job = %self.spec.id,
            start = self.last_start,
            ?end,
            "gang ended without a result"
        );
        match end {
            GangEnd::Evicted { progress_ms } => self.record_progress(progress_ms),
            GangEnd::Failed { reason, piece } => {
                self.report_failed_piece(piece);
                return self.count_failed_run(reason);
            }
            GangEnd::Lost {
                progress_ms,
                cause,
                piece,
            } => {
                self.report_failed_piece(piece);
                self.record_progress(progress_ms);
                return self.count_failed_run(format!("a member was lost: {cause}"));
            }
            GangEnd::NotStarted { refusal, piece } => {
                if refusal == Refusal::Worker {
                    self.report_failed_piece(piece);
                }
                self.consecutive_start_failures += 1;
            }
            GangEnd::Finished(_) | GangEnd::Released => {}
        }
        None
    }

    fn record_progress(
        &mut self,
        progress_ms: u64,
    ) {
        self.consecutive_start_failures = 0;
        self.progress_ms = progress_ms;
    }

    fn count_failed_run(
        &mut self,
        reason: String,
    ) -> Option<JobEnd> {
        self.failed_run_count += 1;
        let max_attempts = self.kind().map_or(0, |k| k.max_attempts);
        (self.failed_run_count >= max_attempts).then_some(JobEnd::Failed(reason))
    }

    async fn release_placed(&mut self) {
        if let Some(placed) = self.placed.take() {
            placed.release(self).await;
        }
    }

    /// Waits before the next start, with exponential backoff while starts fail.
    async fn wait_before_retry(&self) {
        let delay = MIN_START_RETRY_DELAY * 2u32.pow(self.consecutive_start_failures.min(6));
        let delay = delay.min(MAX_START_RETRY_DELAY);
        with_timeout(&*self.entry.clock, delay, self.wait_for_interrupt()).await;
    }

    /// Returns why the task has to stop what it is doing, if it has to.
    pub(super) fn interrupt(&self) -> Option<Interrupt> {
        let fold = self.entry.state.fold();
        let job = fold.job(self.spec.id)?;
        if job.end.is_some() {
            return Some(Interrupt::Ended);
        }
        if job.ownership > self.ownership {
            return Some(Interrupt::Superseded);
        }
        job.cancelled.then_some(Interrupt::Cancelled)
    }

    /// Waits until the task has to stop what it is doing, and returns why.
    pub(super) async fn wait_for_interrupt(&self) -> Interrupt {
        loop {
            if let Some(interrupt) = self.interrupt() {
                return interrupt;
            }
            self.entry.state.wait_for_change().await;
        }
    }

    /// Retries recording the end until an end is recorded or another entry owns the job.
    async fn record_end(
        &self,
        end: JobEnd,
    ) {
        while !matches!(
            self.interrupt(),
            Some(Interrupt::Ended | Interrupt::Superseded)
        ) {
            let record = RecordBody::Job(JobRecord::Ended {
                job: self.spec.id,
                ownership: self.ownership,
                end: end.clone(),
            });
            match self.entry.state.append(record).await {
                Ok(()) => return,
                Err(e) => tracing::warn!(
                    job = %self.spec.id,
                    error = %e,
                    "failed to record the job's end; retrying"
                ),
            }
            self.entry.clock.sleep(RECORD_RETRY_DELAY).await;
        }
    }
}
