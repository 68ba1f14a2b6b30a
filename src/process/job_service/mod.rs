//! Accepts and cancels jobs for callers and reports their phases.

#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod job_service;

pub use job_service::{DeskError, JobService};
