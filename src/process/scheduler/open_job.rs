//! The scheduler's view of a job.

use {
    super::ActiveUnit,
    crate::{
        prelude::*,
        process::ledger::JobView,
        request::{JobProgress, ProgressStamp, StepJob, UnitId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A job that has not ended, or whose end is not recorded yet.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// The job as it was accepted.
    pub job: Rc<StepJob>,
    /// The offset of the record that accepted it.
    pub offset: u64,
    /// The progress, including changes that are not recorded yet.
    pub progress: JobProgress,
    /// The units that are running.
    pub active_units: BTreeMap<UnitId, ActiveUnit>,
    /// The time since which each pending unit has been ready to start.
    pub ready_since: BTreeMap<UnitId, Millis>,
    /// The highest run number of each unit.
    pub highest_run: BTreeMap<UnitId, u64>,
    /// The workers on which runs of each unit have failed; other workers are tried first.
    pub failed_on: BTreeMap<UnitId, BTreeSet<UpstreamName>>,
    /// How often each unit was preempted in this term.
    pub preemptions: BTreeMap<UnitId, u64>,
    /// How often each unit was stopped in this term for the unit whose reserved capacity it ran on.
    pub reclaims: BTreeMap<UnitId, u64>,
    /// The number of the last change of its progress.
    pub last_change: u64,
    /// The number of the last change that is recorded.
    pub last_recorded_change: u64,
    /// Whether an earlier scheduler may have started units of the job. A scheduler starts a job
    /// only after its own progress record is stored, so a job without one was never started.
    pub may_have_started: bool,
    /// Whether a progress record of this term is stored, so that the job may be started.
    pub has_term_record: bool,
    /// Whether the job's end was read back from the ledger. A job is dropped only then, because an
    /// older record that is read later would add it again.
    pub is_end_read_back: bool,
}

impl OpenJob {
    pub(super) fn new(view: &JobView) -> Self {
        Self {
            job: view.job.clone(),
            offset: view.offset,
            progress: view.progress.clone(),
            active_units: BTreeMap::new(),
            ready_since: BTreeMap::new(),
            highest_run: BTreeMap::new(),
            failed_on: BTreeMap::new(),
            preemptions: BTreeMap::new(),
            reclaims: BTreeMap::new(),
            last_change: 0,
            last_recorded_change: 0,
            may_have_started: view.progress.stamp != ProgressStamp::default(),
            has_term_record: false,
            is_end_read_back: false,
        }
    }
}
