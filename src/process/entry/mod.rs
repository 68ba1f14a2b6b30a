//! The entry: takes callers' requests and jobs.

mod claim_ends;
mod dialer;
mod document_push;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod entry;
mod entry_parts;
mod owned_jobs;
mod registration;
mod running_entry;

pub use {
    claim_ends::{ClaimEnds, run_claim_ends},
    dialer::{Dialer, LinkDialer},
    document_push::push_documents,
    entry::Entry,
    entry_parts::EntryParts,
    owned_jobs::run_jobs,
    registration::{follow_registry, register},
    running_entry::RunningEntry,
};
