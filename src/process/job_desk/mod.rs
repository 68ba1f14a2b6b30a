//! Takes jobs from callers and tells how far they are.

mod job_desk;

pub use job_desk::{DeskError, JobDesk};
