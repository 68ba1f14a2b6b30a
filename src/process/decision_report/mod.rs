//! Summaries of the decisions that log lines tell of.

#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod decision_report;

pub use decision_report::DecisionReport;
