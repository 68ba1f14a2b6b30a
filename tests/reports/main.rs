//! Tests of tables, line fits, load plans, decision counts and job traces.

mod decisions;
mod load_plans;
mod tables;
mod traces;
