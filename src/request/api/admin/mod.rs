//! Administration by operators, over HTTP with JSON.

mod accounts;
mod admin_api;
mod authority;
mod documents;
mod jobs;
mod log_status;
mod page;
mod upstreams;

pub(super) use admin_api::answer_admin;
