//! What the records of the ledger amount to.

use {
    super::{KeyedPage, KeyedRecord, LeaderRecord, LedgerKey, LedgerRecord, Member},
    crate::{
        prelude::*,
        request::{JobPhase, JobProgress, StepJob, StepJobId},
        version::QueueName,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// One accepted job.
#[derive(Clone, Debug)]
pub struct JobView {
    /// The job.
    pub job: Rc<StepJob>,
    /// The offset of the record that accepted it.
    pub offset: u64,
    /// How far it is.
    pub progress: JobProgress,
    /// Whether its caller has cancelled it.
    pub is_cancelled: bool,
    /// When its end was first read here.
    pub ended_at: Option<Millis>,
}

impl JobView {
    /// Returns where the job stands, a cancelling taken into account at once.
    pub fn phase(&self) -> JobPhase {
        if self.is_cancelled && !self.progress.phase.is_final() {
            return JobPhase::Cancelled;
        }
        self.progress.phase
    }
}

/// Who schedules.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeadView {
    /// The entry.
    pub entry: EntryName,
    /// Its boot.
    pub boot: u64,
    /// The term.
    pub term: u64,
    /// Whether it has given the lead up.
    pub resigned: bool,
    /// When a record of it was last read.
    pub heard: Millis,
}

/// The state that all records up to `next` amount to. Taking a record twice changes nothing.
#[derive(Debug, Default)]
pub struct LedgerFold {
    /// The offset of the next record.
    pub next_offset: u64,
    /// The jobs.
    pub jobs: BTreeMap<StepJobId, JobView>,
    /// The processes, by the name of their instance.
    pub members: BTreeMap<Arc<str>, Member>,
    /// Who schedules.
    pub leader: Option<LeadView>,
    early_progress: BTreeMap<StepJobId, JobProgress>,
    early_cancels: BTreeMap<StepJobId, u64>,
}

impl LedgerFold {
    /// Takes one record; returns the job that it is about, if any.
    pub fn apply(
        &mut self,
        record: &KeyedRecord,
        now: Millis,
    ) -> Option<StepJobId> {
        let Some(key) = LedgerKey::parse(&record.key) else {
            tracing::warn!(key = %record.key, offset = record.offset, "unknown ledger key ignored");
            return None;
        };
        let Some(value) = &record.value else {
            return self.remove_key(key);
        };
        match (key, postcard::from_bytes(value)) {
            (LedgerKey::Job(id), Ok(LedgerRecord::Job(job))) => {
                self.apply_job(id, job, record.offset);
                self.record_end(id, now);
                Some(id)
            }
            (LedgerKey::Progress(id), Ok(LedgerRecord::Progress(progress))) => {
                self.apply_progress(id, progress);
                self.record_end(id, now);
                Some(id)
            }
            (LedgerKey::Cancel(id), Ok(LedgerRecord::Cancel(_))) => {
                match self.jobs.get_mut(&id) {
                    Some(view) => view.is_cancelled = true,
                    None => drop(self.early_cancels.insert(id, record.offset)),
                }
                Some(id)
            }
            (LedgerKey::Member(name), Ok(LedgerRecord::Member(member))) => {
                self.members.insert(name, member);
                None
            }
            (LedgerKey::Leader, Ok(LedgerRecord::Leader(lead))) => {
                self.apply_leader(lead, record.offset, now);
                None
            }
            (key, Ok(_)) => {
                tracing::error!(%key, offset = record.offset, "ledger record of another key ignored");
                None
            }
            (key, Err(e)) => {
                tracing::error!(%key, offset = record.offset, error = %e, "ledger record unreadable");
                None
            }
        }
    }

    /// Forgets what is no longer in a page of all newest records. The records that dropped it may be
    /// gone from the topic's history. What was stored behind the page's end is read again from there.
    pub fn retain_newest(
        &mut self,
        page: &KeyedPage,
    ) {
        let keys = page.records.iter().filter_map(|r| LedgerKey::parse(&r.key));
        let keys: BTreeSet<LedgerKey> = keys.collect();
        self.jobs
            .retain(|id, v| v.offset >= page.end || keys.contains(&LedgerKey::Job(*id)));
        self.members
            .retain(|name, _| keys.contains(&LedgerKey::Member(name.clone())));
    }

    /// Counts the jobs of a queue that wait for their first start, without recurring ones.
    pub fn pending_jobs(
        &self,
        queue: &QueueName,
    ) -> usize {
        let own = self.jobs.values().filter(|v| v.job.queue == *queue);
        let waiting = own.filter(|v| v.phase() == JobPhase::Queued && v.job.recurrence.is_none());
        waiting.count()
    }

    /// Returns up to `limit` jobs that ended at least `retention` ago.
    pub fn expired_jobs(
        &self,
        now: Millis,
        retention: Duration,
        limit: usize,
    ) -> Vec<StepJobId> {
        let ended = self.jobs.iter().filter(|(_, v)| {
            let ended = v.ended_at.filter(|at| now.since(*at) >= retention);
            ended.is_some()
        });
        ended.map(|(id, _)| *id).take(limit).collect()
    }

    /// Returns the keys under which something about a job is stored.
    pub fn job_keys(id: StepJobId) -> [LedgerKey; 3] {
        [
            LedgerKey::Job(id),
            LedgerKey::Progress(id),
            LedgerKey::Cancel(id),
        ]
    }

    fn record_end(
        &mut self,
        id: StepJobId,
        now: Millis,
    ) {
        if let Some(view) = self.jobs.get_mut(&id)
            && view.progress.phase.is_final()
        {
            view.ended_at.get_or_insert(now);
        }
    }

    fn remove_key(
        &mut self,
        key: LedgerKey,
    ) -> Option<StepJobId> {
        match key {
            LedgerKey::Job(id) => {
                self.jobs.remove(&id);
                return Some(id);
            }
            LedgerKey::Member(name) => drop(self.members.remove(&name)),
            LedgerKey::Progress(id) => drop(self.early_progress.remove(&id)),
            LedgerKey::Cancel(id) => drop(self.early_cancels.remove(&id)),
            LedgerKey::Leader => {}
        }
        None
    }

    fn apply_job(
        &mut self,
        id: StepJobId,
        job: StepJob,
        offset: u64,
    ) {
        let progress = self.early_progress.remove(&id).unwrap_or_default();
        let cancelled = self.early_cancels.remove(&id).is_some();
        self.jobs.entry(id).or_insert_with(|| JobView {
            job: Rc::new(job),
            offset,
            progress,
            is_cancelled: cancelled,
            ended_at: None,
        });
    }

    fn apply_progress(
        &mut self,
        id: StepJobId,
        progress: JobProgress,
    ) {
        match self.jobs.get_mut(&id) {
            Some(view) if view.progress.stamp < progress.stamp => view.progress = progress,
            Some(_) => {}
            None => drop(self.early_progress.insert(id, progress)),
        }
    }

    fn apply_leader(
        &mut self,
        lead: LeaderRecord,
        offset: u64,
        now: Millis,
    ) {
        let term = lead.term.unwrap_or(offset + 1);
        if self.leader.as_ref().is_some_and(|l| l.term > term) {
            return;
        }
        self.leader = Some(LeadView {
            entry: lead.entry,
            boot: lead.boot,
            term,
            resigned: lead.resigned,
            heard: now,
        });
    }
}
