//! The whole path, from a caller to an upstream and back, in one process over real sockets.

mod clock;
mod driver;
mod guard_status;
mod malformed;
mod plain_tasks;
mod whole_path;
