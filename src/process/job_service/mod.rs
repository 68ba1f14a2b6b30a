//! Takes jobs from callers and tells how far they are.

#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod job_service;

pub use job_service::{DeskError, JobService};
