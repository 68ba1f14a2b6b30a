//! A job as the scheduler knows it.

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
    /// The job.
    pub job: Rc<StepJob>,
    /// The offset of the record that accepted it.
    pub offset: u64,
    /// How far it is, what is not recorded yet included.
    pub progress: JobProgress,
    /// The units that run.
    pub active_units: BTreeMap<UnitId, ActiveUnit>,
    /// Since when units could start.
    pub ready_since: BTreeMap<UnitId, Millis>,
    /// The highest run number of each unit.
    pub highest_run: BTreeMap<UnitId, u64>,
    /// The workers on which runs of a unit have failed; others are tried first.
    pub failed_on: BTreeMap<UnitId, BTreeSet<UpstreamName>>,
    /// The number of the last change of its progress.
    pub last_change: u64,
    /// The number of the last change that is recorded.
    pub last_recorded_change: u64,
    /// Whether an earlier scheduler may have started something of it. A scheduler starts a job only
    /// once its own record about it is stored, so a job without a record was never started.
    pub may_have_started: bool,
    /// Whether a record about it of this term is stored, so that it may be started.
    pub has_term_record: bool,
    /// Whether the job's end was read back from the ledger. A job is forgotten only then: an older
    /// record that is read later would bring it back.
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
            last_change: 0,
            last_recorded_change: 0,
            may_have_started: view.progress.stamp != ProgressStamp::default(),
            has_term_record: false,
            is_end_read_back: false,
        }
    }
}
