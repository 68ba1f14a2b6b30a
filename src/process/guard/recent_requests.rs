//! Deduplicates the requests that a guard receives.

use {
    crate::{connection::Refusal, prelude::*},
    std::collections::{BTreeMap, BTreeSet},
};

/// How long a request is tracked after its deadline, so that late frames are recognized.
const RETENTION_AFTER_DEADLINE: Duration = Duration::from_secs(30);

/// The maximum number of tracked requests.
const MAX_RECENT_REQUESTS: usize = 64 << 10;

/// The state of a request at this guard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// The attempt is in progress.
    Running,
    /// The guard or the worker refused the attempt, so it did not run.
    Refused(Refusal),
    /// The attempt ran, or may have run.
    Completed,
}

/// Whether an attempt may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitResult {
    /// The attempt may be run.
    New,
    /// The attempt was received before, or an earlier one rules it out.
    Duplicate(RequestState),
    /// The maximum number of tracked requests is reached.
    Full,
}

/// The latest admitted attempt of a request.
#[derive(Clone, Copy, Debug)]
struct RecentRequest {
    attempt: u32,
    state: RequestState,
    expires_at: Millis,
}

/// Tracks recent requests by ID, so that a duplicate or late frame does not run a request twice.
#[derive(Debug, Default)]
pub struct RecentRequests {
    requests: BTreeMap<RequestId, RecentRequest>,
    expiries: BTreeSet<Expiry>,
}

/// When a request is no longer tracked.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Expiry {
    expires_at: Millis,
    id: RequestId,
}

impl RecentRequests {
    /// Records an attempt and returns whether it may be run. A later attempt of a tracked request
    /// may run when the earlier one was refused or the request is idempotent.
    pub fn admit(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u32,
        idempotent: bool,
        timeout: Duration,
    ) -> AdmitResult {
        self.remove_expired(now);
        if let Some(recent) = self.requests.get(&id) {
            let is_refused = matches!(recent.state, RequestState::Refused(_));
            if attempt <= recent.attempt || !(is_refused || idempotent) {
                return AdmitResult::Duplicate(recent.state);
            }
        } else if self.requests.len() >= MAX_RECENT_REQUESTS {
            return AdmitResult::Full;
        }
        let expires_at = now + Millis::from(timeout + RETENTION_AFTER_DEADLINE);
        let recent = RecentRequest {
            attempt,
            state: RequestState::Running,
            expires_at,
        };
        if let Some(previous) = self.requests.insert(id, recent) {
            self.expiries.remove(&Expiry {
                expires_at: previous.expires_at,
                id,
            });
        }
        self.expiries.insert(Expiry { expires_at, id });
        AdmitResult::New
    }

    /// Returns the state of a request; `None` when it is not tracked.
    pub fn state(
        &self,
        id: RequestId,
    ) -> Option<RequestState> {
        self.requests.get(&id).map(|r| r.state)
    }

    /// Sets the state of a request, unless a later attempt was admitted since.
    pub fn set_state(
        &mut self,
        id: RequestId,
        attempt: u32,
        state: RequestState,
    ) {
        if let Some(recent) = self.requests.get_mut(&id)
            && recent.attempt == attempt
        {
            recent.state = state;
        }
    }

    fn remove_expired(
        &mut self,
        now: Millis,
    ) {
        while let Some(first) = self.expiries.first().copied() {
            if first.expires_at > now {
                return;
            }
            self.expiries.remove(&first);
            self.requests.remove(&first.id);
        }
    }
}
