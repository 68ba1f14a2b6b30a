//! Stand-ins for the platform: a log and an upstream, over real sockets.

mod log;
mod tasks;
mod upstream;

pub use {log::StandInLog, upstream::StandInUpstream};
