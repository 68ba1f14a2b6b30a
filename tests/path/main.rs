//! End-to-end tests from a caller to an upstream and back, in one process over real sockets.

mod clock;
mod driver;
mod guard_status;
#[path = "../support/local_fixture.rs"]
mod local_fixture;
mod malformed;
mod plain_tasks;
mod whole_path;
