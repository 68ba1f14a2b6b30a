//! Reports made from log lines: counts of decisions, and the trace of one job.

#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod decision_report;
mod job_trace;

pub use {decision_report::DecisionReport, job_trace::JobTrace};
