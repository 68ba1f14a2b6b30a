//! Stand-ins for the platform's log and upstreams, served over real sockets in demonstrations,
//! tests and benchmarks.

mod log;
mod log_faults;
mod log_records;
mod requests;
mod tasks;
mod upstream;

pub use {
    log::StandInLog,
    log_faults::{LogFaults, LogLimits},
    log_records::LogRecords,
    requests::{RunMode, StandInRequests},
    upstream::StandInUpstream,
};
