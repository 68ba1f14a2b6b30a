//! One step of a job.

use {
    super::Resources,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A step: subtasks that are alike.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// How many subtasks it has.
    pub count: u32,
    /// What each subtask needs.
    pub demand: Resources,
    /// The declared run time of a subtask, in milliseconds; often far off.
    pub estimate_ms: u64,
    /// The steps, counted from 0, that must be done before.
    pub after: Vec<u16>,
    /// Whether subtasks save their progress.
    pub checkpoints: bool,
    /// Whether the subtasks work only when all of them run.
    pub gang: bool,
    /// Whether the subtasks are slower on more than one rack.
    pub rack_bound: bool,
    /// A label that the worker must have.
    pub label: Option<Arc<str>>,
    /// The rack where the data are.
    pub data_rack: Option<Arc<str>>,
    /// How many subtasks of one occurrence may run on one worker; 0 for any number.
    pub max_per_upstream: u32,
    /// Whether several runs of one subtask may go on at once.
    pub copies: bool,
    /// What the subtasks run; those of one image behave alike.
    pub image: Option<Arc<str>>,
}

impl Step {
    /// Returns how many units the step is started in: one for a gang, else one for each subtask.
    pub fn unit_count(&self) -> u32 {
        if self.gang { 1 } else { self.count }
    }

    /// Returns how many subtasks start together.
    pub fn members_per_unit(&self) -> u32 {
        if self.gang { self.count } else { 1 }
    }
}
