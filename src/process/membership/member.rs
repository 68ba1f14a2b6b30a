//! One known upstream.

use {
    super::{
        Announcement,
        publisher::{PublicationId, Publisher},
    },
    crate::prelude::*,
    std::collections::BTreeMap,
};

/// One known upstream.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) announcement: Rc<Announcement>,
    pub(super) is_departed: bool,
    pub(super) direct_expires_at: Millis,
    pub(super) publishers: BTreeMap<EntryName, PublicationId>,
    pub(super) changed_at: Millis,
}

impl Member {
    pub(super) fn is_published(
        &self,
        now: Millis,
        publishers: &BTreeMap<EntryName, Publisher>,
    ) -> bool {
        self.publishers.iter().any(|(publisher, start)| {
            let publisher = publishers.get(publisher);
            publisher.is_some_and(|p| now < p.lease_expiry(*start))
        })
    }
}
