//! The state that results from the records of the ledger.

use {
    super::{
        Deregistration, KeyedPage, KeyedRecord, LeaderRecord, LedgerKey, LedgerRecord, Member,
        MemberRole,
    },
    crate::{
        prelude::*,
        request::{JobPhase, JobProgress, ProgressStamp, StepJob, StepJobId},
        version::QueueName,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The current state of an accepted job.
#[derive(Clone, Debug)]
pub struct JobView {
    /// The job.
    pub job: Rc<StepJob>,
    /// The memory that the job takes, in bytes.
    pub memory_bytes: usize,
    /// The offset of the record that accepted it.
    pub offset: u64,
    /// The latest recorded progress.
    pub progress: JobProgress,
    /// Whether its caller has cancelled it.
    pub is_cancelled: bool,
    /// Whether that was stored before the job, so that the job never runs.
    pub is_cancelled_early: bool,
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
    /// The further records of the progress of jobs, and the stamps of what was read of it.
    progress_parts: BTreeMap<StepJobId, ProgressParts>,
    /// Registrations that were ended by a record whose tombstone was not read yet.
    ending_registrations: BTreeMap<Arc<str>, Deregistration>,
    /// Cancellations that were read before the record of their job.
    early_cancels: BTreeMap<StepJobId, EarlyCancel>,
}

/// A cancellation that was read before the record of its job.
#[derive(Clone, Copy, Debug)]
struct EarlyCancel {
    /// The offset of its record.
    offset: u64,
    /// When it was read.
    read_at: Millis,
}

/// The further records in which the progress of a job is stored.
#[derive(Clone, Debug, Default)]
struct ProgressParts {
    /// The numbers of the stored ones.
    numbers: BTreeSet<u32>,
    /// The latest version of which one was read.
    stamp: ProgressStamp,
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
            (LedgerKey::ProgressPart(id, number), Ok(LedgerRecord::Progress(part))) => {
                self.apply_progress_part(id, number, part);
                Some(id)
            }
            (LedgerKey::Cancel(id), Ok(LedgerRecord::Cancel(_))) => {
                self.apply_cancel(id, record.offset, now);
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
        self.progress_parts.retain(|id, parts| {
            let is_stored = |n: &u32| keys.contains(&LedgerKey::ProgressPart(*id, *n));
            parts.numbers.retain(is_stored);
            !parts.numbers.is_empty()
        });
        self.members
            .retain(|name, _| keys.contains(&LedgerKey::Member(name.clone())));
        self.early_cancels
            .retain(|id, c| c.offset >= page.end || keys.contains(&LedgerKey::Cancel(*id)));
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

    /// Returns the number of registered entries.
    pub fn entry_count(&self) -> usize {
        let members = self.members.values();
        members.filter(|m| m.role == MemberRole::Entry).count()
    }

    /// Returns the memory of all jobs, in bytes.
    pub fn job_bytes(&self) -> usize {
        self.jobs.values().map(|v| v.memory_bytes).sum()
    }

    /// Returns the bytes of jobs that the entry with the least memory can hold; `None` if no entry states it.
    pub fn min_job_bytes(&self) -> Option<u64> {
        self.members.values().filter_map(|m| m.job_bytes).min()
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

    /// Returns whether the cancellation of a job was stored before the job, which may come or not.
    pub fn is_cancelled_early(
        &self,
        id: StepJobId,
    ) -> bool {
        match self.jobs.get(&id) {
            Some(view) => view.is_cancelled_early,
            None => self.early_cancels.contains_key(&id),
        }
    }

    /// Returns up to `limit` jobs that were not stored, and whose cancellation was read at least
    /// `retention` ago.
    pub fn expired_early_cancels(
        &self,
        now: Millis,
        retention: Duration,
        limit: usize,
    ) -> Vec<StepJobId> {
        let cancels = self.early_cancels.iter();
        let expired = cancels.filter(|(_, c)| now.since(c.read_at) >= retention);
        expired.map(|(id, _)| *id).take(limit).collect()
    }

    /// Returns the numbers of the further records in which the progress of a job is stored.
    pub fn progress_part_numbers(
        &self,
        id: StepJobId,
    ) -> BTreeSet<u32> {
        let parts = self.progress_parts.get(&id);
        parts.map(|p| p.numbers.clone()).unwrap_or_default()
    }

    /// Returns all keys under which the records of a job are stored. The key of the job comes after
    /// the further records of its progress, so that these are still known if only the first of the
    /// keys are removed.
    pub fn stored_keys(
        &self,
        id: StepJobId,
    ) -> Vec<LedgerKey> {
        let numbers = self.progress_part_numbers(id).into_iter();
        let mut keys: Vec<LedgerKey> = numbers.map(|n| LedgerKey::ProgressPart(id, n)).collect();
        keys.extend(Self::job_keys(id));
        keys
    }

    /// Returns the keys of the records that every job may have.
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
            LedgerKey::ProgressPart(id, number) => {
                if let Some(parts) = self.progress_parts.get_mut(&id) {
                    parts.numbers.remove(&number);
                    if parts.numbers.is_empty() {
                        self.progress_parts.remove(&id);
                    }
                }
            }
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
        let early_cancel = self.early_cancels.remove(&id);
        let is_cancelled_early = early_cancel.is_some_and(|c| c.offset < offset);
        self.jobs.entry(id).or_insert_with(|| JobView {
            memory_bytes: job.memory_bytes(),
            job: Rc::new(job),
            offset,
            progress,
            is_cancelled: early_cancel.is_some(),
            is_cancelled_early,
            ended_at: None,
        });
    }

    fn apply_cancel(
        &mut self,
        id: StepJobId,
        offset: u64,
        now: Millis,
    ) {
        match self.jobs.get_mut(&id) {
            Some(view) => {
                view.is_cancelled = true;
                view.is_cancelled_early |= offset < view.offset;
            }
            None => {
                let cancel = EarlyCancel {
                    offset,
                    read_at: now,
                };
                self.early_cancels.insert(id, cancel);
            }
        }
    }

    /// Applies the record of a job's progress that every job has. It alone holds the phase and the
    /// stamp; the further records only add to what is known of units.
    fn apply_progress(
        &mut self,
        id: StepJobId,
        progress: JobProgress,
    ) {
        let parts_stamp = self.progress_parts.get(&id).map(|p| p.stamp);
        let known = self.progress_entry(id);
        if known.stamp >= progress.stamp && known.stamp != ProgressStamp::default() {
            return;
        }
        let is_newest = parts_stamp.is_none_or(|s| s <= progress.stamp);
        (known.stamp, known.phase) = (progress.stamp, progress.phase);
        known.merge_units(progress, is_newest);
    }

    /// Applies one of the further records of a job's progress.
    fn apply_progress_part(
        &mut self,
        id: StepJobId,
        number: u32,
        part: JobProgress,
    ) {
        let main_stamp = self.progress_entry(id).stamp;
        let parts = self.progress_parts.entry(id).or_default();
        parts.numbers.insert(number);
        let is_newest = part.stamp >= parts.stamp.max(main_stamp);
        parts.stamp = parts.stamp.max(part.stamp);
        self.progress_entry(id).merge_units(part, is_newest);
    }

    /// Returns the progress of a job, or what was read of it before the job's own record.
    fn progress_entry(
        &mut self,
        id: StepJobId,
    ) -> &mut JobProgress {
        match self.jobs.get_mut(&id) {
            Some(view) => &mut view.progress,
            None => self.early_progress.entry(id).or_default(),
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
