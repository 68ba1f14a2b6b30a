//! Identities of jobs, subtasks and runs.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// The identity that a caller gives a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
pub struct StepJobId(pub u64);

/// One subtask of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct SubtaskId {
    /// The job.
    pub job: StepJobId,
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// The subtask's number within the step, counted from 0.
    pub index: u32,
}

/// What starts and ends as a whole: a gang, or one subtask of a step that is none.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{occurrence}.{step}.{index}")]
pub struct UnitId {
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// The subtask's number; 0 for a gang.
    pub index: u32,
}

/// One start of a subtask. All members of a gang's start have the same run number.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{subtask}#{run}")]
pub struct RunRef {
    /// The subtask.
    pub subtask: SubtaskId,
    /// The run number, which rises with each start.
    pub run: u64,
}
