//! The gang of one job: placed, reserved, committed, followed and started again.

mod adopt;
mod follow;
mod job_run;
mod place;
mod placed_gang;
mod start;

pub use job_run::run_job;
use {
    follow::FollowOutcome,
    job_run::{Interrupt, JobRun},
    placed_gang::PlacedGang,
    start::Start,
};
