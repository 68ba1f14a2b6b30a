//! Accepts and cancels jobs for callers and reports their phases.

mod early_cancellations;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod job_service;

pub use {
    early_cancellations::EarlyCancellations,
    job_service::{DeskError, JobService},
};
