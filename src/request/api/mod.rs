//! The HTTP API of an entry: decodes requests, calls the decision logic and encodes the results.

mod admin;
mod entry_api;
mod job_api;
mod job_explanation;
mod request_api;
mod state_api;

pub use entry_api::EntryApi;
