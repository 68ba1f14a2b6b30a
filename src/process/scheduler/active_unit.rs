//! A running unit.

use crate::{
    prelude::*,
    request::{StepJobId, UnitId},
};

/// A job and one of its units.
pub type JobUnit = (StepJobId, UnitId);

/// One start of a unit, on one worker or, for a gang, possibly on several.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveUnit {
    /// The run number.
    pub run: u64,
    /// The worker of each running member, by the subtask's number in the step.
    pub members: std::collections::BTreeMap<u32, UpstreamName>,
    /// When it was started or found on a worker.
    pub active_since: Millis,
    /// Whether it is being stopped as a whole.
    pub is_stopping: bool,
    /// The units whose reserved capacity it runs on. They take it back once they fit.
    pub lenders: Vec<JobUnit>,
}
