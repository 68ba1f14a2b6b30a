//! The progress of a job.

use {
    super::{StepJob, UnitId},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Phase of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum JobPhase {
    /// No worker is known to have started a subtask of it.
    #[default]
    Queued,
    /// A worker has started a subtask of it; none need run now.
    Running,
    /// All units have succeeded.
    Completed,
    /// A unit has used up its attempts.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the phase is final.
    pub fn is_final(self) -> bool {
        self >= Self::Completed
    }
}

/// Version of a job's progress, ordered by the scheduler's term and the number within it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProgressStamp {
    /// Term of the scheduler that wrote it.
    pub term: u64,
    /// Number of the version within the term.
    pub number: u64,
}

/// State of a job that has to outlive the scheduler.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobProgress {
    /// Version of this state.
    pub stamp: ProgressStamp,
    /// Phase of the job.
    pub phase: JobPhase,
    /// Units that have succeeded.
    pub done: BTreeSet<UnitId>,
    /// Failed runs of each unit, by run number.
    pub failed_runs: BTreeMap<UnitId, BTreeSet<u64>>,
    /// Latest checkpoint of each unit that has to be resumed.
    pub checkpoints: BTreeMap<UnitId, Arc<str>>,
}

impl JobProgress {
    /// Returns whether all units of one occurrence of a step have succeeded.
    pub fn is_step_done(
        &self,
        job: &StepJob,
        occurrence: u32,
        step: u16,
    ) -> bool {
        let mut units = job.units(occurrence, step);
        units.all(|u| self.done.contains(&u))
    }

    /// Returns whether all units of the job have succeeded.
    pub fn is_done(
        &self,
        job: &StepJob,
    ) -> bool {
        let per_occurrence: u64 = job.steps.iter().map(|s| u64::from(s.unit_count())).sum();
        self.done.len() as u64 == per_occurrence * u64::from(job.occurrences())
    }

    /// Adds what another record of the same job shows of its units. Whether a unit has succeeded and
    /// which of its runs have failed stays true for good, so records of different versions can be
    /// combined; of two checkpoints, that of the newer record is kept.
    pub fn merge_units(
        &mut self,
        other: Self,
        is_newer: bool,
    ) {
        self.done.extend(other.done);
        for (unit, runs) in other.failed_runs {
            self.failed_runs.entry(unit).or_default().extend(runs);
        }
        for (unit, checkpoint) in other.checkpoints {
            if is_newer || !self.checkpoints.contains_key(&unit) {
                self.checkpoints.insert(unit, checkpoint);
            }
        }
        let done = &self.done;
        self.checkpoints.retain(|unit, _| !done.contains(unit));
    }

    /// Returns the number of failed runs of a unit.
    pub fn failed_run_count(
        &self,
        unit: UnitId,
    ) -> u32 {
        self.failed_runs
            .get(&unit)
            .map_or(0, |runs| runs.len() as u32)
    }
}
