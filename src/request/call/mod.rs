//! One caller's request, from its admission to its outcome.

mod outcome;
mod run;

pub use {
    outcome::{NotRun, Outcome},
    run::{CallerRequest, run_request},
};
