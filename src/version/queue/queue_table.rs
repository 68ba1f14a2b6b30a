//! The queues, accounts and limits of one version.

use {
    crate::{prelude::*, version::QueueName},
    std::collections::BTreeMap,
};

/// A queue for jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// The host under which callers reach it, in lower case.
    pub host: Arc<str>,
    /// The start of its paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// The service whose workers run its jobs.
    pub service: Arc<str>,
    /// How urgent its jobs are; 0 comes first.
    pub priority: u32,
    /// How many runs of a unit may fail.
    pub attempts: u32,
    /// By how much a job may take longer than its longest chain of work.
    pub stretch: f64,
    /// The time that a job may wait besides, in milliseconds.
    pub target_ms: u64,
    /// Whether calls need no key.
    pub public: bool,
    /// Whether the queue asks for something that is not served yet.
    pub unsupported: Option<&'static str>,
}

/// An account that submits jobs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApiAccount {
    /// Its name.
    pub name: AccountName,
    /// The accelerators that belong to its urgent jobs at all times.
    pub guaranteed: u64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time in which a head may arrive.
    pub head_timeout: Duration,
    /// The longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// All that one version says.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueTable {
    /// The version.
    pub version: u64,
    /// The queues, by name.
    pub queues: BTreeMap<QueueName, Queue>,
    /// The accounts, by name.
    pub accounts: BTreeMap<AccountName, ApiAccount>,
    /// The account of each key.
    pub keys: BTreeMap<Arc<str>, AccountName>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl QueueTable {
    /// Returns the queue with the longest prefix that a path of a host begins with.
    pub fn route(
        &self,
        host: &str,
        path: &str,
    ) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        let fitting = self
            .queues
            .values()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(&*q.prefix));
        fitting.max_by_key(|q| q.prefix.len())
    }
}
