//! The entry: takes callers' requests and jobs.

mod dialer;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod entry;
mod in_flight;
mod owned_jobs;
mod registration;
mod running_entry;
mod tasks;

pub use {
    dialer::{Dialer, LinkDialer},
    entry::Entry,
    in_flight::{InFlight, InFlightLimits},
    owned_jobs::run_jobs,
    registration::{follow_registry, register},
    running_entry::RunningEntry,
    tasks::push_documents,
};
