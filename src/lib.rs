//! A scheduler for multi-accelerator jobs and requests under client account guarantees.
//!
//! The modules are divided by the lifetime of the state they hold: [`request`] for one request or
//! job, [`connection`] for one connection, [`version`] for one accepted document version and
//! [`process`] for one process. [`platform`] only translates between these modules and the
//! interfaces of the platform that runs the processes.

pub mod connection;
pub mod platform;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
