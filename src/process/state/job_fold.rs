//! Open and recently ended jobs.

use {
    super::{JobEnd, JobRecord, JobState, RecordCx, RecordOutcome},
    crate::{prelude::*, request::JobSpec},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// Largest number of ended jobs kept.
const MAX_ENDED_JOBS: usize = 2000;

/// Largest total size of the payloads and results of ended jobs kept, in bytes.
const MAX_ENDED_BYTES: usize = 16 << 20;

/// All open jobs and the most recently ended ones.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct JobFold {
    jobs: BTreeMap<JobId, JobState>,
    ended: VecDeque<JobId>,
    ended_bytes: usize,
}

impl JobFold {
    /// Returns a job, if it is retained.
    pub fn get(
        &self,
        id: JobId,
    ) -> Option<&JobState> {
        self.jobs.get(&id)
    }

    /// Returns all retained jobs, ordered by identity.
    pub fn iter(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// Folds a change of a job.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: JobRecord,
    ) -> RecordOutcome {
        match record {
            JobRecord::Accepted { spec, owner } => self.accept(cx, spec, owner),
            JobRecord::Cancelled { job } => self.cancel(job),
            JobRecord::Ended {
                job,
                ownership,
                end,
            } => self.apply_end(job, ownership, end),
            JobRecord::OwnerChanged {
                job,
                owner,
                follows,
            } => self.change_owner(cx, job, owner, follows),
        }
    }

    fn accept(
        &mut self,
        cx: &RecordCx,
        spec: JobSpec,
        owner: EntryName,
    ) -> RecordOutcome {
        let id = spec.id;
        if self.jobs.contains_key(&id) {
            return RecordOutcome::Stale;
        }
        let job = JobState {
            spec: Rc::new(spec),
            owner,
            owner_epoch: cx.key.epoch,
            ownership: 1,
            cancelled: false,
            end: None,
        };
        self.jobs.insert(id, job);
        RecordOutcome::Applied
    }

    fn cancel(
        &mut self,
        job: JobId,
    ) -> RecordOutcome {
        match self.open_job_mut(job) {
            Some(job) => {
                job.cancelled = true;
                RecordOutcome::Applied
            }
            None => RecordOutcome::Stale,
        }
    }

    /// Ends an open job, unless the record names another ownership than the current one.
    fn apply_end(
        &mut self,
        id: JobId,
        ownership: u32,
        end: JobEnd,
    ) -> RecordOutcome {
        let Some(job) = self.open_job_mut(id).filter(|j| j.ownership == ownership) else {
            return RecordOutcome::Stale;
        };
        job.end = Some(end);
        self.ended_bytes += job.stored_bytes();
        self.ended.push_back(id);
        self.trim_ended();
        RecordOutcome::Applied
    }

    /// Changes the owner of an open job if the record follows the current ownership.
    fn change_owner(
        &mut self,
        cx: &RecordCx,
        id: JobId,
        owner: EntryName,
        follows: u32,
    ) -> RecordOutcome {
        let Some(job) = self.open_job_mut(id).filter(|j| j.ownership == follows) else {
            return RecordOutcome::Stale;
        };
        job.owner = owner;
        job.owner_epoch = cx.key.epoch;
        job.ownership += 1;
        RecordOutcome::Applied
    }

    fn open_job_mut(
        &mut self,
        id: JobId,
    ) -> Option<&mut JobState> {
        self.jobs.get_mut(&id).filter(|j| j.end.is_none())
    }

    /// Drops the jobs that ended first. The one that ended last is always kept.
    fn trim_ended(&mut self) {
        while self.ended.len() > 1
            && (self.ended.len() > MAX_ENDED_JOBS || self.ended_bytes > MAX_ENDED_BYTES)
        {
            let oldest = self.ended.pop_front();
            let dropped = oldest.and_then(|id| self.jobs.remove(&id));
            self.ended_bytes -= dropped.map_or(0, |j| j.stored_bytes());
        }
    }
}
