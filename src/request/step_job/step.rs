//! A step of a job.

use {
    super::Resources,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A set of subtasks with the same demand and constraints.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Number of subtasks.
    pub count: u32,
    /// Resource demand of each subtask.
    pub demand: Resources,
    /// Declared run time of a subtask, in milliseconds; often inaccurate.
    pub estimate_ms: u64,
    /// Indices, from 0, of the steps that have to be done before this one starts.
    pub after: Vec<u16>,
    /// Whether subtasks write checkpoints.
    pub checkpoints: bool,
    /// Whether the subtasks make progress only while all of them run.
    pub gang: bool,
    /// Whether the subtasks run slower when they are spread over several racks.
    pub rack_bound: bool,
    /// Label that the worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that stores the data.
    pub data_rack: Option<Arc<str>>,
    /// Largest number of subtasks of one occurrence on one worker; 0 for no limit.
    pub max_per_upstream: u32,
    /// Whether several runs of one subtask may run at the same time.
    pub copies: bool,
    /// Image that the subtasks run; subtasks of the same image behave alike.
    pub image: Option<Arc<str>>,
}

impl Step {
    /// Returns the number of units of one occurrence: one for a gang, otherwise one per subtask.
    pub fn unit_count(&self) -> u32 {
        if self.gang { 1 } else { self.count }
    }

    /// Returns the number of subtasks that start together as one unit.
    pub fn members_per_unit(&self) -> u32 {
        if self.gang { self.count } else { 1 }
    }
}
