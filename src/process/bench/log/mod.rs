//! The `limpetquay bench log` command: measures the use of the log service and its latency.

mod in_force;
mod job_cost;
mod latency_histogram;
mod log_bench;
mod log_probe;
mod outage;
mod recovery;
mod served_log;
mod start;

pub(super) use {log_bench::LogBench, log_probe::LogProbe};
