//! The HTTP interface of an entry: turns requests into calls of the decisions, and back.

mod admin;
mod entry_api;
mod job_api;
mod request_api;
mod state_api;

pub use entry_api::EntryApi;
