//! The requests that a guard has been asked to run of late.

use {
    crate::{connection::Refusal, prelude::*},
    std::collections::{BTreeMap, BTreeSet},
};

/// How long a request is remembered beyond its deadline, for frames that come late.
const RETENTION_AFTER_DEADLINE: Duration = Duration::from_secs(30);

/// The most requests that are remembered.
const MAX_RECENT_REQUESTS: usize = 64 << 10;

/// What became of a request here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// It runs.
    Running,
    /// It was refused.
    Refused(Refusal),
    /// It ran.
    Completed,
}

/// Whether a request may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitResult {
    /// It was not seen before.
    New,
    /// The same attempt was seen before.
    Duplicate(RequestState),
    /// Too many requests are remembered to remember another one.
    Full,
}

/// One remembered request.
#[derive(Clone, Copy, Debug)]
struct RecentRequest {
    attempt: u32,
    state: RequestState,
    expires_at: Millis,
}

/// The requests of late, by identity, so that a doubled or late frame runs nothing twice.
#[derive(Debug, Default)]
pub struct RecentRequests {
    requests: BTreeMap<RequestId, RecentRequest>,
    expiries: BTreeSet<Expiry>,
}

/// When a request is forgotten.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Expiry {
    expires_at: Millis,
    id: RequestId,
}

impl RecentRequests {
    /// Notes an attempt and tells whether it may be run. A later attempt may when the earlier one
    /// was refused, or when the request is idempotent.
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
        let until = now + Millis::from(timeout + RETENTION_AFTER_DEADLINE);
        let recent = RecentRequest {
            attempt,
            state: RequestState::Running,
            expires_at: until,
        };
        if let Some(previous) = self.requests.insert(id, recent) {
            self.expiries.remove(&Expiry {
                expires_at: previous.expires_at,
                id,
            });
        }
        self.expiries.insert(Expiry {
            expires_at: until,
            id,
        });
        AdmitResult::New
    }

    /// Returns what became of a request; `None` when it is not remembered.
    pub fn state(
        &self,
        id: RequestId,
    ) -> Option<RequestState> {
        self.requests.get(&id).map(|r| r.state)
    }

    /// Notes what became of an attempt.
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
