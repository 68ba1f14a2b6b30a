//! Layouts, placement, the queue of jobs, and what accounts learn about them.

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
