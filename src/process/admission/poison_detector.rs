//! Detects requests that fail on every upstream they are sent to.

use {
    crate::{prelude::*, request::Fingerprint},
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of upstreams that a request may fail on before its failures stop counting against them.
const MAX_BLAMED_UPSTREAMS: usize = 2;

/// Number of upstreams that a request has to fail on to be rejected.
const MAX_FAILED_UPSTREAMS: usize = 3;

/// How long a request's failures are kept after its last one.
const FAILURE_RETENTION: Duration = Duration::from_secs(60);

/// Largest number of requests whose failures are kept.
const MAX_TRACKED_REQUESTS: usize = 1024;

/// The upstreams that a request failed on.
#[derive(Clone, Debug)]
struct RequestFailures {
    upstreams: BTreeSet<UpstreamName>,
    last_failed: Millis,
}

/// Recent failures by content of the request, to find requests that make upstreams fail.
#[derive(Clone, Debug, Default)]
pub struct PoisonDetector {
    failures: BTreeMap<Fingerprint, RequestFailures>,
}

impl PoisonDetector {
    /// Returns whether no failures are kept.
    pub fn is_empty(&self) -> bool {
        self.failures.is_empty()
    }

    /// Records a failure; returns whether it counts against the upstream, not only against the
    /// request.
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

    /// Returns whether a request failed on so many upstreams that it is rejected for now.
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
