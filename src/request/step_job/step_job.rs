//! A whole job.

use {
    super::{Recurrence, Step, StepJobId, SubtaskId, UnitId},
    crate::{prelude::*, version::QueueName},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
};

/// The most subtasks of all occurrences of a job; far above any job in use, below what memory bears.
const MAX_SUBTASKS: u64 = 20_000;

/// A job as its caller submitted it. It never changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepJob {
    /// The caller's identity of the job.
    pub id: StepJobId,
    /// The queue that took it.
    pub queue: QueueName,
    /// The account that submitted it.
    pub account: AccountName,
    /// The service whose workers run it.
    pub service: Arc<str>,
    /// How urgent it is; 0 comes first.
    pub priority: u32,
    /// How many runs of a unit may fail.
    pub attempts: u32,
    /// By how much it may take longer than its longest chain of work, in percent.
    pub stretch_percent: u64,
    /// The time that it may wait besides, in milliseconds.
    pub target_ms: u64,
    /// What the workers are told to run.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// When it runs, if more than once or later.
    pub recurrence: Option<Recurrence>,
    /// When it was accepted, in milliseconds since the Unix epoch by the entry's time of day.
    pub accepted_ms: u64,
}

/// Why a job can never run.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum InvalidJob {
    /// There is nothing to run.
    #[display("the job has no subtasks")]
    Empty,
    /// There are more subtasks than a job may have.
    #[display("the job has more than {MAX_SUBTASKS} subtasks")]
    TooLarge,
    /// A step follows itself, a later one or none at all.
    #[display("step {_0} depends on a step that is not before it")]
    StepOrder(#[error(not(source))] usize),
}

impl StepJob {
    /// Checks that the job can be run in principle.
    ///
    /// # Errors
    /// [`InvalidJob`], which says what is wrong.
    pub fn check(&self) -> Result<(), InvalidJob> {
        let subtasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if subtasks == 0 {
            return Err(InvalidJob::Empty);
        }
        if subtasks.saturating_mul(u64::from(self.occurrences())) > MAX_SUBTASKS {
            return Err(InvalidJob::TooLarge);
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|a| usize::from(*a) >= i) {
                return Err(InvalidJob::StepOrder(i));
            }
        }
        Ok(())
    }

    /// Returns the declared time of the longest chain of steps, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|a| ends.get(usize::from(*a)));
            let start = before.copied().max().unwrap_or_default();
            ends.push(start + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns when an occurrence may start and by when it should be done, in milliseconds since
    /// the Unix epoch.
    pub fn window(
        &self,
        occurrence: u32,
    ) -> (Millis, Millis) {
        let start = self.recurrence.map(|r| r.due(occurrence));
        let start = start.unwrap_or(Millis(self.accepted_ms));
        let span = self.critical_path_ms() * self.stretch_percent / 100 + self.target_ms;
        (start, start + Millis(span))
    }

    /// Returns how often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |r| r.count)
    }

    /// Returns the step of a unit.
    pub fn step_of(
        &self,
        unit: UnitId,
    ) -> Option<&Step> {
        self.steps.get(usize::from(unit.step))
    }

    /// Returns the unit that a subtask belongs to; `None` when the job has no such subtask.
    pub fn unit_of(
        &self,
        subtask: SubtaskId,
    ) -> Option<UnitId> {
        let step = self.steps.get(usize::from(subtask.step))?;
        let exists = subtask.index < step.count && subtask.occurrence < self.occurrences();
        exists.then_some(UnitId {
            occurrence: subtask.occurrence,
            step: subtask.step,
            index: if step.gang { 0 } else { subtask.index },
        })
    }

    /// Returns the subtasks that start together as one unit.
    pub fn members(
        &self,
        unit: UnitId,
    ) -> Vec<SubtaskId> {
        let members = self.step_of(unit).map_or(0, Step::members_per_unit);
        let ids = (unit.index..unit.index + members).map(|index| SubtaskId {
            job: self.id,
            occurrence: unit.occurrence,
            step: unit.step,
            index,
        });
        ids.collect()
    }

    /// Returns the units of one occurrence of a step.
    pub fn units(
        &self,
        occurrence: u32,
        step: u16,
    ) -> impl Iterator<Item = UnitId> + use<> {
        let count = self
            .steps
            .get(usize::from(step))
            .map_or(0, Step::unit_count);
        (0..count).map(move |index| UnitId {
            occurrence,
            step,
            index,
        })
    }
}
