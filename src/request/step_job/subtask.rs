//! Identifiers of jobs, subtasks and runs.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Identifier that a caller gives a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
pub struct StepJobId(pub u64);

/// Identifier of one subtask of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct SubtaskId {
    /// Job that the subtask belongs to.
    pub job: StepJobId,
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// Index of the subtask within the step, from 0.
    pub index: u32,
}

/// Identifier of a unit, which starts and ends as a whole: a gang, or a single subtask of a step
/// that is not a gang.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{occurrence}.{step}.{index}")]
pub struct UnitId {
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// Index of the subtask within the step, from 0; 0 for a gang.
    pub index: u32,
}

/// Identifier of one run of a subtask. All members of a gang have the same run number.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{subtask}#{run}")]
pub struct RunRef {
    /// Subtask that runs.
    pub subtask: SubtaskId,
    /// Run number, which increases with each start.
    pub run: u64,
}
