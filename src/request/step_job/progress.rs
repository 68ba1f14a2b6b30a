//! How far a job is.

use {
    super::{StepJob, UnitId},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Where a job stands.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum JobPhase {
    /// Nothing of it has started.
    #[default]
    Queued,
    /// Something of it has started.
    Running,
    /// Everything has ended well.
    Completed,
    /// A unit has failed as often as it may.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobPhase {
    /// Tells whether the phase is final.
    pub fn is_final(self) -> bool {
        self >= Self::Completed
    }
}

/// The order of the versions of a job's progress: the scheduler's term, then its count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProgressStamp {
    /// The term of the scheduler that wrote it.
    pub term: u64,
    /// The number of the version within the term.
    pub number: u64,
}

/// What has to outlive the scheduler about a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobProgress {
    /// Which version this is.
    pub stamp: ProgressStamp,
    /// Where the job stands.
    pub phase: JobPhase,
    /// The units that have ended well.
    pub done: BTreeSet<UnitId>,
    /// For each unit that has failed, the runs that did.
    pub failed_runs: BTreeMap<UnitId, BTreeSet<u64>>,
    /// The latest checkpoint of units that are to be resumed.
    pub checkpoints: BTreeMap<UnitId, Arc<str>>,
}

impl JobProgress {
    /// Tells whether an occurrence of a step has ended well as a whole.
    pub fn is_step_done(
        &self,
        job: &StepJob,
        occurrence: u32,
        step: u16,
    ) -> bool {
        let mut units = job.units(occurrence, step);
        units.all(|u| self.done.contains(&u))
    }

    /// Tells whether the whole job has ended well.
    pub fn is_done(
        &self,
        job: &StepJob,
    ) -> bool {
        let per_occurrence: u64 = job.steps.iter().map(|s| u64::from(s.unit_count())).sum();
        self.done.len() as u64 == per_occurrence * u64::from(job.occurrences())
    }

    /// Returns how many runs of a unit have failed.
    pub fn failed_run_count(
        &self,
        unit: UnitId,
    ) -> u32 {
        self.failed_runs
            .get(&unit)
            .map_or(0, |runs| runs.len() as u32)
    }
}
