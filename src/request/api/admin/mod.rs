//! The HTTP API for operators.

mod accounts;
mod admin_api;
mod authority;
mod documents;
mod guarantees;
mod jobs;
mod log_status;
mod page;
mod readers;
mod upstreams;

pub(super) use {admin_api::answer_admin, readers::ReaderView};
