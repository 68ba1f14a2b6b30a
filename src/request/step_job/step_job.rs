//! A job and its steps.

use {
    super::{Recurrence, Step, StepJobId, SubtaskId, UnitId},
    crate::{prelude::*, version::QueueName},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
};

/// Largest number of subtasks in all occurrences of a job: far above any job in use, and within
/// what fits into memory.
const MAX_SUBTASKS: u64 = 20_000;

/// The most steps of a job: with more, some would have no subtasks.
pub const MAX_STEPS: usize = MAX_SUBTASKS as usize;

/// The upper limit on the memory of a subtask that waits or has ended, in bytes: its state in the progress of
/// the job and at the leader.
const SUBTASK_BYTES: usize = 128;

/// A job as its caller submitted it; it is immutable.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepJob {
    /// Identifier that the caller gave the job.
    pub id: StepJobId,
    /// Queue that the job was submitted to.
    pub queue: QueueName,
    /// Account that submitted it.
    pub account: AccountName,
    /// Service whose workers run it.
    pub service: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a unit after which the job fails.
    pub attempts: u32,
    /// Factor by which the critical path is multiplied in the job's target duration, in percent.
    pub stretch_percent: u64,
    /// Time added to the stretched critical path for the target duration, in milliseconds.
    pub target_ms: u64,
    /// Payload that the workers receive.
    pub payload: Arc<str>,
    /// Steps, in an order in which each one follows those it depends on.
    pub steps: Vec<Step>,
    /// Schedule, if the job runs more than once or later.
    pub recurrence: Option<Recurrence>,
    /// Time of acceptance by the entry's clock, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
}

/// Why a job can never run.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum InvalidJob {
    /// The job has no subtasks.
    #[display("the job has no subtasks")]
    Empty,
    /// The job has too many subtasks over all occurrences.
    #[display("the job has more than {MAX_SUBTASKS} subtasks")]
    TooLarge,
    /// The step with this index depends on itself or on an index that is not before it.
    #[display("step {_0} depends on a step that is not before it")]
    StepOrder(#[error(not(source))] usize),
}

impl StepJob {
    /// Checks the number of subtasks and the order of the steps.
    ///
    /// # Errors
    /// Returns [`InvalidJob`] if the job can never run.
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

    /// Returns how much memory the job takes at an entry that leads, in bytes, with its subtasks.
    pub fn memory_bytes(&self) -> usize {
        let text = |name: &Option<Arc<str>>| name.as_ref().map_or(0, |n| n.len());
        let steps = self.steps.iter().map(|s| {
            let texts = text(&s.label) + text(&s.data_rack) + text(&s.image);
            size_of::<Step>() + size_of::<u16>() * s.after.len() + texts
        });
        let subtasks: usize = self.steps.iter().map(|s| s.count as usize).sum();
        let subtasks = subtasks.saturating_mul(self.occurrences() as usize);
        size_of::<Self>()
            + self.payload.len()
            + steps.sum::<usize>()
            + subtasks.saturating_mul(SUBTASK_BYTES)
    }

    /// Returns the declared run time of the longest chain of dependent steps, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|a| ends.get(usize::from(*a)));
            let start = before.copied().max().unwrap_or_default();
            ends.push(start + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the earliest start and the target end of an occurrence, in milliseconds since the
    /// Unix epoch.
    pub fn window(
        &self,
        occurrence: u32,
    ) -> (Millis, Millis) {
        let start = self.recurrence.map(|r| r.due(occurrence));
        let start = start.unwrap_or(Millis(self.accepted_ms));
        let span = self.critical_path_ms() * self.stretch_percent / 100 + self.target_ms;
        (start, start + Millis(span))
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |r| r.count)
    }

    /// Returns the step that a unit belongs to; `None` if the job has no such step.
    pub fn step_of(
        &self,
        unit: UnitId,
    ) -> Option<&Step> {
        self.steps.get(usize::from(unit.step))
    }

    /// Returns the unit that a subtask belongs to; `None` if the job has no such subtask.
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
