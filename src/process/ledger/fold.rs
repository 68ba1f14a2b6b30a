//! The state that results from the records of the ledger.

use {
    super::{
        Deregistration, KeyedPage, KeyedRecord, LeaderRecord, LedgerKey, LedgerRecord, Member,
    },
    crate::{
        prelude::*,
        request::{JobPhase, JobProgress, StepJob, StepJobId},
        version::QueueName,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The current state of an accepted job.
#[derive(Clone, Debug)]
pub struct JobView {
    /// The job.
    pub job: Rc<StepJob>,
    /// The offset of the record that accepted it.
    pub offset: u64,
    /// The latest recorded progress.
    pub progress: JobProgress,
    /// Whether its caller has cancelled it.
    pub is_cancelled: bool,
    /// When this process first read the job's end.
    pub ended_at: Option<Millis>,
}

impl JobView {
    /// Returns the job's phase. A cancelled job that has not ended counts as cancelled at once.
    pub fn phase(&self) -> JobPhase {
        if self.is_cancelled && !self.progress.phase.is_final() {
            return JobPhase::Cancelled;
        }
        self.progress.phase
    }
}

/// The entry that claimed leadership last, as read from the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeadView {
    /// The name of the entry.
    pub entry: EntryName,
    /// The random number that the entry drew at its start.
    pub boot: u64,
    /// The term of its leadership.
    pub term: u64,
    /// Whether it has resigned.
    pub resigned: bool,
    /// When a record of this leader was last read.
    pub heard: Millis,
}

/// The state that results from all records before `next_offset`. Applying a record again changes
/// nothing but the time at which the leader's record was last read.
#[derive(Clone, Debug, Default)]
pub struct LedgerFold {
    /// The offset of the next record.
    pub next_offset: u64,
    /// The accepted jobs.
    pub jobs: BTreeMap<StepJobId, JobView>,
    /// The registered processes, by the name of their instance.
    pub members: BTreeMap<Arc<str>, Member>,
    /// The members whose record a late deregistration has removed from the store.
    pub unstored_members: BTreeSet<Arc<str>>,
    /// The guards that have deregistered, each with the time by which the leases of its worker have
    /// expired.
    pub departed_guards: BTreeMap<Arc<str>, Millis>,
    /// The entry that claimed leadership last; `None` before the first claim.
    pub leader: Option<LeadView>,
    /// Progress that was read before the record of its job.
    early_progress: BTreeMap<StepJobId, JobProgress>,
    /// Registrations that were ended by a record whose tombstone was not read yet.
    ending_registrations: BTreeMap<Arc<str>, Deregistration>,
    /// Offsets of cancellations that were read before the record of their job.
    early_cancels: BTreeMap<StepJobId, u64>,
}

impl LedgerFold {
    /// Applies one record. Returns the job that it adds, changes or removes, if any.
    pub fn apply(
        &mut self,
        record: &KeyedRecord,
        now: Millis,
    ) -> Option<StepJobId> {
        let Some(key) = LedgerKey::parse(&record.key) else {
            tracing::warn!(key = %record.key, offset = record.offset, "unknown ledger key; record ignored");
            return None;
        };
        let Some(value) = &record.value else {
            return self.remove_key(key, now);
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
                self.unstored_members.remove(&name);
                self.departed_guards.remove(&name);
                self.members.insert(name, member);
                None
            }
            (LedgerKey::Member(name), Ok(LedgerRecord::Deregistered(ending))) => {
                self.ending_registrations.insert(name, ending);
                None
            }
            (LedgerKey::Leader, Ok(LedgerRecord::Leader(leader))) => {
                self.apply_leader(leader, record.offset, now);
                None
            }
            (key, Ok(_)) => {
                tracing::error!(%key, offset = record.offset, "ledger record does not match its key; ignored");
                None
            }
            (key, Err(e)) => {
                tracing::error!(%key, offset = record.offset, error = %e, "ledger record cannot be decoded; ignored");
                None
            }
        }
    }

    /// Removes the jobs and members that a page of the newest record of each key no longer
    /// contains, because the tombstones that removed them may have been trimmed from the topic's
    /// history. Records that were stored after the page's end are read again from there.
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

    /// Returns the progress of a job whose own record was not read yet.
    pub fn early_progress_of(
        &self,
        id: StepJobId,
    ) -> Option<&JobProgress> {
        self.early_progress.get(&id)
    }

    /// Returns the number of jobs of a queue that wait for their first start, without recurring
    /// jobs.
    pub fn pending_jobs(
        &self,
        queue: &QueueName,
    ) -> usize {
        let of_queue = self.jobs.values().filter(|v| v.job.queue == *queue);
        let waiting =
            of_queue.filter(|v| v.phase() == JobPhase::Queued && v.job.recurrence.is_none());
        waiting.count()
    }

    /// Returns up to `limit` jobs whose end was read at least `retention` ago.
    pub fn expired_jobs(
        &self,
        now: Millis,
        retention: Duration,
        limit: usize,
    ) -> Vec<StepJobId> {
        let ended = self.jobs.iter().filter(|(_, v)| {
            let expired = v.ended_at.filter(|at| now.since(*at) >= retention);
            expired.is_some()
        });
        ended.map(|(id, _)| *id).take(limit).collect()
    }

    /// Returns the keys under which the records of a job are stored.
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
        now: Millis,
    ) -> Option<StepJobId> {
        match key {
            LedgerKey::Job(id) => {
                self.jobs.remove(&id);
                return Some(id);
            }
            LedgerKey::Member(name) => self.remove_member(name, now),
            LedgerKey::Progress(id) => drop(self.early_progress.remove(&id)),
            LedgerKey::Cancel(id) => drop(self.early_cancels.remove(&id)),
            LedgerKey::Leader => {}
        }
        None
    }

    /// Removes a process from the members. A deregistration that the store has carried out late
    /// removes no later registration, whose record has to be stored again.
    fn remove_member(
        &mut self,
        name: Arc<str>,
        now: Millis,
    ) {
        let ending = self.ending_registrations.remove(&name);
        let registration = self.members.get(&name).map(|m| m.registration);
        if let (Some(ending), Some(registration)) = (ending, registration) {
            if ending.registration != registration {
                tracing::warn!(%name, ended = ending.registration, registration, "late deregistration ignored");
                self.unstored_members.insert(name);
                return;
            }
            self.departed_guards.retain(|_, expire_at| *expire_at > now);
            self.departed_guards
                .insert(name.clone(), now + Millis(ending.lease_ms));
        }
        self.unstored_members.remove(&name);
        self.members.remove(&name);
    }

    fn apply_job(
        &mut self,
        id: StepJobId,
        job: StepJob,
        offset: u64,
    ) {
        let progress = self.early_progress.remove(&id).unwrap_or_default();
        let is_cancelled = self.early_cancels.remove(&id).is_some();
        self.jobs.entry(id).or_insert_with(|| JobView {
            job: Rc::new(job),
            offset,
            progress,
            is_cancelled,
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
        leader: LeaderRecord,
        offset: u64,
        now: Millis,
    ) {
        let term = leader.term.unwrap_or(offset + 1);
        if self.leader.as_ref().is_some_and(|l| l.term > term) {
            return;
        }
        self.leader = Some(LeadView {
            entry: leader.entry,
            boot: leader.boot,
            term,
            resigned: leader.resigned,
            heard: now,
        });
    }
}
