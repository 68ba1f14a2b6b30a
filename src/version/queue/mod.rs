//! Queues that callers submit jobs to, as one accepted version has them.

mod queue_table;

pub use queue_table::{ApiAccount, CallerLimits, Queue, QueueTable};
