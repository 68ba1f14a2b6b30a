//! The queues that callers submit jobs to, from one accepted version of the configuration.

mod queue_table;

pub use queue_table::{ApiAccount, CallerLimits, Queue, QueueTable};
