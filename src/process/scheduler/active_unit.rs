//! A unit that runs.

use crate::prelude::*;

/// One start of a unit, on one worker or, for a gang, on several.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveUnit {
    /// The run number.
    pub run: u64,
    /// The worker of each member, by the subtask's number in the step.
    pub members: std::collections::BTreeMap<u32, UpstreamName>,
    /// When it was started or found.
    pub active_since: Millis,
    /// Whether it is being stopped as a whole.
    pub is_stopping: bool,
}
