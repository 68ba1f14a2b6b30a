//! Runs one caller's request from its admission to its outcome.

mod claimed;
mod fingerprint;
mod outcome;
mod run;

pub use {
    fingerprint::Fingerprint,
    outcome::{KeyConflict, NotRun, Outcome},
    run::{CallerRequest, run_request},
};
