//! `limpetquay bench log`: what the log carries, and how fast.

mod in_force;
mod job_cost;
mod log_bench;
mod log_client;
mod log_probe;
mod outage;
mod recovery;
mod spread;
mod start;

pub(super) use {log_bench::LogBench, log_probe::LogProbe};
