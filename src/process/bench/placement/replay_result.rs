//! The result of one replay.

use {super::replay_report::FragmentationReport, crate::prelude::*, std::collections::BTreeMap};

/// The measured outcome of one replay.
#[derive(Clone, Debug, Default)]
pub struct ReplayResult {
    /// The time from arrival to completion of each job that finished.
    pub completion_times: BTreeMap<JobId, Duration>,
    /// The number of jobs that used up their attempts although they do not fail on every worker.
    pub exhausted_jobs: u32,
    /// The number of jobs that were neither finished, cancelled nor given up at the end of the
    /// replay.
    pub unfinished_jobs: u32,
    /// The number of times that a job was stopped for the owner of guaranteed accelerators.
    pub evictions: u32,
    /// The number of times that a deferrable job was stopped for an urgent one.
    pub preemptions: u32,
    /// The idle and the unusable accelerators until the last arrival.
    pub fragmentation: FragmentationReport,
}
