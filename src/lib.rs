//! A scheduler for multi-accelerator jobs and requests under client account guarantees.
//!
//! The modules follow the life span of what they hold: [`request`] for one request or job,
//! [`connection`] for one connection, [`version`] for one accepted document version and
//! [`process`] for one process. [`platform`] only translates between these and the machines' platform.

pub mod connection;
pub mod platform;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
