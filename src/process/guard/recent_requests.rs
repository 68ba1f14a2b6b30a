//! The requests that a guard has been asked to run of late.

use {
    crate::{connection::Refusal, prelude::*},
    std::collections::{BTreeMap, BTreeSet},
};

/// How long a request is remembered beyond its deadline, for frames that come late.
const MEMORY_SLACK: Duration = Duration::from_secs(30);

/// The most requests that are remembered.
const MAX_REMEMBERED: usize = 64 << 10;

/// What became of a request here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecentState {
    /// It runs.
    Running,
    /// It was refused.
    Refused(Refusal),
    /// It ran.
    Ran,
}

/// Whether a request may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admittance {
    /// It was not seen before.
    New,
    /// The same attempt was seen before.
    Seen(RecentState),
    /// Too many requests are remembered to remember another one.
    Full,
}

/// One remembered request.
#[derive(Clone, Copy, Debug)]
struct Recent {
    attempt: u32,
    state: RecentState,
    until: Millis,
}

/// The requests of late, by identity, so that a doubled or late frame runs nothing twice.
#[derive(Debug, Default)]
pub struct RecentRequests {
    requests: BTreeMap<RequestId, Recent>,
    expiries: BTreeSet<Expiry>,
}

/// When a request is forgotten.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Expiry {
    until: Millis,
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
    ) -> Admittance {
        self.forget_old(now);
        if let Some(recent) = self.requests.get(&id) {
            let is_refused = matches!(recent.state, RecentState::Refused(_));
            if attempt <= recent.attempt || !(is_refused || idempotent) {
                return Admittance::Seen(recent.state);
            }
        } else if self.requests.len() >= MAX_REMEMBERED {
            return Admittance::Full;
        }
        let until = now + Millis::from(timeout + MEMORY_SLACK);
        let recent = Recent {
            attempt,
            state: RecentState::Running,
            until,
        };
        if let Some(previous) = self.requests.insert(id, recent) {
            self.expiries.remove(&Expiry {
                until: previous.until,
                id,
            });
        }
        self.expiries.insert(Expiry { until, id });
        Admittance::New
    }

    /// Returns what became of a request; `None` when it is not remembered.
    pub fn state(
        &self,
        id: RequestId,
    ) -> Option<RecentState> {
        self.requests.get(&id).map(|r| r.state)
    }

    /// Notes what became of an attempt.
    pub fn set_state(
        &mut self,
        id: RequestId,
        attempt: u32,
        state: RecentState,
    ) {
        if let Some(recent) = self.requests.get_mut(&id)
            && recent.attempt == attempt
        {
            recent.state = state;
        }
    }

    fn forget_old(
        &mut self,
        now: Millis,
    ) {
        while let Some(first) = self.expiries.first().copied() {
            if first.until > now {
                return;
            }
            self.expiries.remove(&first);
            self.requests.remove(&first.id);
        }
    }
}
