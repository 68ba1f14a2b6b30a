//! The whole path, from a caller to an upstream and back, in one process over real sockets.

mod clock;
mod driver;
mod malformed;
mod plain_tasks;
mod whole_path;
