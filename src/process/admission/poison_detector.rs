//! Detects requests that fail on several upstreams, and so are themselves the probable cause.

use {
    crate::{prelude::*, request::Fingerprint},
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of upstreams against which the failures of one request count. Its failures on further
/// upstreams count only against the request.
const MAX_BLAMED_UPSTREAMS: usize = 2;

/// Number of upstreams that a request has to fail on before it is rejected.
const MIN_FAILED_UPSTREAMS: usize = 3;

/// How long a request's failures are kept after the last one.
const FAILURE_RETENTION: Duration = Duration::from_secs(60);

/// Largest number of requests whose failures are kept. The failures of others count only against
/// the upstream.
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
    pub fn is_rejected(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
    ) -> bool {
        self.remove_expired(now);
        let failures = self.failures.get(&fingerprint);
        failures.is_some_and(|f| f.upstreams.len() >= MIN_FAILED_UPSTREAMS)
    }

    fn remove_expired(
        &mut self,
        now: Millis,
    ) {
        self.failures
            .retain(|_, f| now.since(f.last_failed) < FAILURE_RETENTION);
    }
}
