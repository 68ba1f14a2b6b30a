//! Requests that fail wherever they run.

use {
    crate::{prelude::*, request::Fingerprint},
    std::collections::{BTreeMap, BTreeSet},
};

/// How many upstreams a request may fail on before it alone is blamed.
const BLAMED_UPSTREAMS: usize = 2;

/// How many upstreams a request may fail on before it is refused.
const MAX_FAILED_UPSTREAMS: usize = 3;

/// How long a failure is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// The most requests that are remembered.
const MAX_REMEMBERED: usize = 1024;

/// Where a request has failed.
#[derive(Clone, Debug)]
struct Failures {
    upstreams: BTreeSet<UpstreamName>,
    last: Millis,
}

/// The requests that failed of late, by content.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    failures: BTreeMap<Fingerprint, Failures>,
}

impl Suspects {
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
        self.forget_old(now);
        if self.failures.len() >= MAX_REMEMBERED && !self.failures.contains_key(&fingerprint) {
            return true;
        }
        let failures = self
            .failures
            .entry(fingerprint)
            .or_insert_with(|| Failures {
                upstreams: BTreeSet::new(),
                last: now,
            });
        failures.upstreams.insert(upstream.clone());
        failures.last = now;
        failures.upstreams.len() <= BLAMED_UPSTREAMS
    }

    /// Tells whether a request failed on so many upstreams that it is refused for now.
    pub fn is_refused(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
    ) -> bool {
        self.forget_old(now);
        let failures = self.failures.get(&fingerprint);
        failures.is_some_and(|f| f.upstreams.len() >= MAX_FAILED_UPSTREAMS)
    }

    fn forget_old(
        &mut self,
        now: Millis,
    ) {
        self.failures.retain(|_, f| now.since(f.last) < MEMORY);
    }
}
