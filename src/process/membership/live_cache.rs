//! A cache of the list of live upstreams, shared by many requests.

use {super::Announcement, crate::prelude::*};

/// How long the list is valid while the table does not change. Lease expiry is observed with at
/// most this delay.
const CACHE_LIFETIME: Duration = Duration::from_millis(50);

/// The list of live upstreams, and when it was computed.
#[derive(Debug, Default)]
pub(super) struct LiveCache {
    list: Option<Vec<Rc<Announcement>>>,
    computed_at: Millis,
}

impl LiveCache {
    /// Returns the list if it is still valid.
    pub(super) fn get(
        &self,
        now: Millis,
    ) -> Option<Vec<Rc<Announcement>>> {
        let is_valid = now.since(self.computed_at) < CACHE_LIFETIME;
        self.list.as_ref().filter(|_| is_valid).cloned()
    }

    /// Stores the list, which is ordered by name.
    pub(super) fn set(
        &mut self,
        now: Millis,
        list: Vec<Rc<Announcement>>,
    ) {
        self.list = Some(list);
        self.computed_at = now;
    }

    /// Invalidates the list.
    pub(super) fn clear(&mut self) {
        self.list = None;
    }
}
