//! The entry: takes callers' requests and jobs.

mod dialer;
mod document_push;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod entry;
mod in_flight;
mod owned_jobs;
mod registration;
mod running_entry;

pub use {
    dialer::{Dialer, LinkDialer},
    document_push::push_documents,
    entry::Entry,
    in_flight::{InFlight, InFlightLimits},
    owned_jobs::run_jobs,
    registration::{follow_registry, register},
    running_entry::RunningEntry,
};
