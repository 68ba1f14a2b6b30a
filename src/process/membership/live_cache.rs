//! The live upstreams, worked out once for many requests.

use {super::Announcement, crate::prelude::*};

/// How long the list is kept while the table does not change; leases end this much later at most.
const CACHE_LIFETIME: Duration = Duration::from_millis(50);

/// The list of live upstreams as of a time.
#[derive(Debug, Default)]
pub(super) struct LiveCache {
    list: Option<Vec<Rc<Announcement>>>,
    computed_at: Millis,
}

impl LiveCache {
    /// Returns the list if it still holds.
    pub(super) fn get(
        &self,
        now: Millis,
    ) -> Option<Vec<Rc<Announcement>>> {
        let holds = now.since(self.computed_at) < CACHE_LIFETIME;
        self.list.as_ref().filter(|_| holds).cloned()
    }

    /// Sets the list, ordered by the upstreams' names.
    pub(super) fn set(
        &mut self,
        now: Millis,
        list: Vec<Rc<Announcement>>,
    ) {
        self.list = Some(list);
        self.computed_at = now;
    }

    /// Drops the list.
    pub(super) fn clear(&mut self) {
        self.list = None;
    }
}
