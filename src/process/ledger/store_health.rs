//! Whether this process reaches the store by its own path, or only through other entries.

use {crate::prelude::*, std::cell::Cell};

/// The duration from which the fastest call shows that the store is in another region: between the
/// round trip within a region and the one between regions.
const REMOTE_STORE_CALL: Duration = Duration::from_millis(25);

/// When calls to the store last succeeded, by the way they took.
#[derive(Debug, Default)]
pub struct StoreHealth {
    direct_at: Cell<Option<Millis>>,
    relayed_at: Cell<Option<Millis>>,
    /// The duration of the fastest direct call that did not wait for records.
    fastest_call: Cell<Option<Duration>>,
    /// The number of direct calls that have failed since the last one that succeeded.
    direct_failures: Cell<u32>,
}

impl StoreHealth {
    /// Records that the store has answered a direct call.
    pub fn record_direct(
        &self,
        now: Millis,
    ) {
        self.direct_at.set(Some(now));
        self.direct_failures.set(0);
    }

    /// Records the duration of a direct call that the store has answered without waiting.
    pub fn record_duration(
        &self,
        duration: Duration,
    ) {
        let fastest = self.fastest_call.get().unwrap_or(duration);
        self.fastest_call.set(Some(fastest.min(duration)));
    }

    /// Returns whether even the fastest direct call took so long that the store must be in another
    /// region.
    pub fn is_store_remote(&self) -> bool {
        self.fastest_call
            .get()
            .is_none_or(|fastest| fastest >= REMOTE_STORE_CALL)
    }

    /// Records that the store has refused a direct call or has not answered it.
    pub fn record_direct_failure(&self) {
        self.direct_failures
            .set(self.direct_failures.get().saturating_add(1));
    }

    /// Records that the store has answered a call through another entry.
    pub fn record_relayed(
        &self,
        now: Millis,
    ) {
        self.relayed_at.set(Some(now));
    }

    /// Returns whether a direct call has succeeded within `max_age`.
    pub fn has_own_path(
        &self,
        now: Millis,
        max_age: Duration,
    ) -> bool {
        self.direct_at
            .get()
            .is_some_and(|at| now.since(at) <= max_age)
    }

    /// Returns whether the store has been reached through other entries only for at least `span`:
    /// direct calls fail, and a relayed one has succeeded at the end of that time. An outage of the
    /// store itself does not count, because no other entry reaches it either.
    pub fn is_relay_only(
        &self,
        now: Millis,
        span: Duration,
    ) -> bool {
        let direct_at = self.direct_at.get().unwrap_or_default();
        let relayed_at = self.relayed_at.get();
        self.direct_failures.get() >= 2
            && now.since(direct_at) >= span
            && relayed_at.is_some_and(|at| at > direct_at && now.since(at) < span)
    }
}
