//! Runs the gang of one job: places, reserves, commits and follows it, and starts it again.

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
