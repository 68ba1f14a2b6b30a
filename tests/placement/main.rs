//! Tests of layouts, placement and the job queue, and of how they are explained to callers.

mod fuzz;
mod layout;
mod layout_fuzz;
mod learning;
mod local;
#[path = "../support/local_fixture.rs"]
mod local_fixture;
mod queue;
mod queue_fuzz;
mod replay;
