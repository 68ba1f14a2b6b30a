//! A load generator with fixed limits, for systems on the same machine.

mod load_plan;
mod load_report;
mod run_load;

pub use {
    load_plan::{LoadPlan, LoadPlanError},
    load_report::{LoadReport, OutcomeCounts},
    run_load::run_load,
};
