//! A unit that is ready to start and waits to be placed.

use crate::{
    prelude::*,
    request::{Resources, StepJobId, UnitId},
};

/// A unit that is ready to start, with what decides the order of placement.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingUnit {
    /// The job that the unit belongs to.
    pub job: StepJobId,
    /// The unit within the job.
    pub unit: UnitId,
    /// The queue's priority; 0 comes first.
    pub priority: u32,
    /// Whether it is urgent and fits into the unused part of its account's guarantee.
    pub is_guaranteed: bool,
    /// Whether it was stopped for other work before.
    pub was_preempted: bool,
    /// The time by which its occurrence should be done, in milliseconds since the Unix epoch.
    pub due: Millis,
    /// How long it has been waiting.
    pub waited: Duration,
    /// The resources that all its members need together.
    pub total_demand: Resources,
}

impl PendingUnit {
    /// Returns the sort key: guaranteed units first, then by priority, then by due time. Of the
    /// guaranteed ones, those that were stopped for others and those without accelerators come last:
    /// they would otherwise take the room again that they have freed.
    pub fn order_key(&self) -> (bool, bool, u32, Millis, StepJobId, UnitId) {
        let may_yield = self.was_preempted || self.total_demand.accelerators == 0;
        let gives_way = self.is_guaranteed && may_yield;
        (
            !self.is_guaranteed,
            gives_way,
            self.priority,
            self.due,
            self.job,
            self.unit,
        )
    }
}
