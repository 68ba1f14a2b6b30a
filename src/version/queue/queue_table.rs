//! The queues, accounts and limits of one version of the platform's configuration.

use {
    crate::{prelude::*, version::QueueName},
    std::collections::BTreeMap,
};

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The name.
    pub name: QueueName,
    /// The host name in its URLs. It is compared without regard to case.
    pub host: Arc<str>,
    /// The prefix of its paths, which starts and ends with a slash.
    pub prefix: Arc<str>,
    /// The service whose workers run its jobs.
    pub service: Arc<str>,
    /// The priority of its jobs; 0 is the most urgent.
    pub priority: u32,
    /// The number of failed runs of a unit after which its job fails.
    pub max_attempts: u32,
    /// The factor by which the critical path of a job is multiplied in its target duration.
    pub stretch_factor: f64,
    /// The time that is added to the stretched critical path for a job's target duration, in
    /// milliseconds.
    pub target_latency_ms: u64,
    /// Whether callers may submit jobs without a key.
    pub is_public: bool,
    /// The feature that the queue requires and the scheduler does not support, if any. Its jobs are
    /// rejected.
    pub unsupported_feature: Option<&'static str>,
}

/// An account that submits jobs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApiAccount {
    /// The name.
    pub name: AccountName,
    /// The number of accelerators that are available to its urgent jobs at any time.
    pub guaranteed_accelerators: u64,
}

/// The limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum time for the head of a request to arrive.
    pub head_timeout: Duration,
    /// The maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// The queues, accounts and limits of one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueTable {
    /// The number of the version.
    pub version: u64,
    /// The queues, by name.
    pub queues: BTreeMap<QueueName, Queue>,
    /// The accounts, by name.
    pub accounts: BTreeMap<AccountName, ApiAccount>,
    /// The account of each API key.
    pub accounts_by_key: BTreeMap<Arc<str>, AccountName>,
    /// The limits on what callers may send.
    pub limits: CallerLimits,
}

impl QueueTable {
    /// Returns the queue of `host` with the longest prefix of `path`; a port in `host` is ignored.
    pub fn route(
        &self,
        host: &str,
        path: &str,
    ) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self
            .queues
            .values()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(&*q.prefix));
        matching.max_by_key(|q| q.prefix.len())
    }
}
