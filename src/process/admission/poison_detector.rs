//! Requests that fail wherever they run.

use {
    crate::{prelude::*, request::Fingerprint},
    std::collections::{BTreeMap, BTreeSet},
};

/// How many upstreams a request may fail on before it alone is blamed.
const MAX_BLAMED_UPSTREAMS: usize = 2;

/// How many upstreams a request may fail on before it is refused.
const MAX_FAILED_UPSTREAMS: usize = 3;

/// How long a failure is remembered.
const FAILURE_RETENTION: Duration = Duration::from_secs(60);

/// The most requests that are remembered.
const MAX_TRACKED_REQUESTS: usize = 1024;

/// Where a request has failed.
#[derive(Clone, Debug)]
struct RequestFailures {
    upstreams: BTreeSet<UpstreamName>,
    last_failed: Millis,
}

/// The requests that failed of late, by content.
#[derive(Clone, Debug, Default)]
pub struct PoisonDetector {
    failures: BTreeMap<Fingerprint, RequestFailures>,
}

impl PoisonDetector {
    /// Tells whether nothing has failed of late.
    pub fn is_empty(&self) -> bool {
        self.failures.is_empty()
    }

    /// Notes a failure; returns whether the upstream is to be blamed for it, not the request.
    pub fn record_failure(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
    ) -> bool {
        self.remove_expired(now);
        if self.failures.len() >= MAX_TRACKED_REQUESTS && !self.failures.contains_key(&fingerprint)
        {
            return true;
        }
        let failures = self
            .failures
            .entry(fingerprint)
            .or_insert_with(|| RequestFailures {
                upstreams: BTreeSet::new(),
                last_failed: now,
            });
        failures.upstreams.insert(upstream.clone());
        failures.last_failed = now;
        failures.upstreams.len() <= MAX_BLAMED_UPSTREAMS
    }

    /// Tells whether a request failed on so many upstreams that it is refused for now.
    pub fn is_refused(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
    ) -> bool {
        self.remove_expired(now);
        let failures = self.failures.get(&fingerprint);
        failures.is_some_and(|f| f.upstreams.len() >= MAX_FAILED_UPSTREAMS)
    }

    fn remove_expired(
        &mut self,
        now: Millis,
    ) {
        self.failures
            .retain(|_, f| now.since(f.last_failed) < FAILURE_RETENTION);
    }
}
