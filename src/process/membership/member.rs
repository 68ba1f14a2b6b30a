//! The record of one known upstream.

use {
    super::{
        Announcement,
        publisher::{PublicationId, Publisher},
    },
    crate::prelude::*,
    std::collections::BTreeMap,
};

/// The record of one known upstream.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) announcement: Rc<Announcement>,
    pub(super) is_departed: bool,
    /// When the lease from announcements sent directly to this entry expires.
    pub(super) direct_expires_at: Millis,
    /// The entries that publish the upstream, with the publication in which each does.
    pub(super) publishers: BTreeMap<EntryName, PublicationId>,
    pub(super) changed_at: Millis,
}

impl Member {
    /// Returns whether at least one entry whose lease is valid publishes the upstream.
    pub(super) fn is_published(
        &self,
        now: Millis,
        publishers: &BTreeMap<EntryName, Publisher>,
    ) -> bool {
        self.publishers.iter().any(|(publisher, publication)| {
            let publisher = publishers.get(publisher);
            publisher.is_some_and(|p| now < p.lease_expiry(*publication))
        })
    }
}
