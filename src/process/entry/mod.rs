//! The entry: takes callers' requests and jobs.

mod claim_ends;
mod dialer;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod entry;
mod owned_jobs;
mod running_entry;
mod tasks;

pub use {
    claim_ends::{ClaimEnds, run_claim_ends},
    dialer::{Dialer, LinkDialer},
    entry::Entry,
    owned_jobs::run_jobs,
    running_entry::RunningEntry,
    tasks::push_documents,
};
