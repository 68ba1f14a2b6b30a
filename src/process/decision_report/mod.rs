//! Summaries of the decisions that log lines tell of.

#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod decision_report;
mod job_trace;

pub use {decision_report::DecisionReport, job_trace::JobTrace};
