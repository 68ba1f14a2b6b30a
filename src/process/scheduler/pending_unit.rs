//! A unit that could start now.

use crate::{
    prelude::*,
    request::{Resources, StepJobId, UnitId},
};

/// A unit whose turn has come, with what decides its place in the order.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingUnit {
    /// The job.
    pub job: StepJobId,
    /// The unit.
    pub unit: UnitId,
    /// The queue's priority; 0 comes first.
    pub priority: u32,
    /// Whether it may take back accelerators that its account is guaranteed.
    pub is_guaranteed: bool,
    /// When it should be done, in milliseconds since the Unix epoch.
    pub due: Millis,
    /// How long it has been waiting.
    pub waited: Duration,
    /// What all its members need together.
    pub total_demand: Resources,
}

impl PendingUnit {
    /// Returns the place in the order: guaranteed work, then by priority, then what is due first.
    pub fn order_key(&self) -> (bool, u32, Millis, StepJobId, UnitId) {
        let key = (self.job, self.unit);
        (!self.is_guaranteed, self.priority, self.due, key.0, key.1)
    }
}
