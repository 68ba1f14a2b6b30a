//! The entry: takes callers' requests and jobs.

mod dialer;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod entry;
mod in_flight;
mod release_orphans;
mod running_entry;
mod tasks;

pub use {
    dialer::{Dialer, LinkDialer},
    entry::Entry,
    in_flight::{InFlight, InFlightLimits},
    release_orphans::release_orphans,
    running_entry::RunningEntry,
    tasks::{push_documents, run_jobs},
};
