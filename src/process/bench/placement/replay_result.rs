//! What a replay brought.

use {super::replay_report::FragmentationReport, crate::prelude::*, std::collections::BTreeMap};

/// What a replay brought.
#[derive(Clone, Debug, Default)]
pub struct ReplayResult {
    /// The completion time of each job that finished, from its arrival, by job.
    pub completion_times: BTreeMap<JobId, Duration>,
    /// The number of jobs that were given up after failures though they can work.
    pub exhausted_jobs: u32,
    /// The number of jobs that had not ended when the replay ended.
    pub unfinished_jobs: u32,
    /// How often a job lost its place to the owner of a guarantee.
    pub evictions: u32,
    /// How often a deferrable job gave way.
    pub preemptions: u32,
    /// What was idle, and how much of it was of no use.
    pub fragmentation: FragmentationReport,
}
