//! Tables, fitted lines, load plans and summaries of decisions.

mod decisions;
mod load_plans;
mod tables;
mod traces;
