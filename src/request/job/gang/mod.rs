//! The gang of one job: placed, reserved, committed, watched and started again.

mod place;
mod run_job;

pub use run_job::run_job;
