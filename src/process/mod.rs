//! State and tasks with the lifetime of one process, and the command line that starts them.

pub mod admission;
pub mod bench;
pub mod cli;
pub mod clock;
pub mod decision_report;
pub mod entry;
pub mod guard;
pub mod job_queue;
pub mod job_service;
pub mod ledger;
pub mod limits;
pub mod link;
pub mod load;
pub mod local;
pub mod logging;
pub mod membership;
pub mod metrics;
mod output;
pub mod platform;
pub mod relay;
pub mod runs;
pub mod scheduler;
pub mod settings;
pub mod shutdown;
pub mod stand_in;
pub mod state;
pub mod task_group;
