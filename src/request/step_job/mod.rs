//! Jobs that consist of steps of subtasks, each step with its own resource demand.

mod progress;
mod recurrence;
mod resources;
mod step;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod step_job;
mod subtask;

pub use {
    progress::{JobPhase, JobProgress, ProgressStamp},
    recurrence::Recurrence,
    resources::Resources,
    step::Step,
    step_job::{InvalidJob, MAX_STEPS, StepJob},
    subtask::{ParseStepJobIdError, RunRef, StepJobId, SubtaskId, UnitId},
};
