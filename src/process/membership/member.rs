//! One known upstream.

use {
    super::{
        Announcement,
        publisher::{Publisher, Start},
    },
    crate::prelude::*,
    std::collections::BTreeMap,
};

/// One known upstream.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) announcement: Rc<Announcement>,
    pub(super) gone: bool,
    pub(super) direct_until: Millis,
    pub(super) vouchers: BTreeMap<EntryName, Start>,
    pub(super) touched: Millis,
}

impl Member {
    pub(super) fn is_vouched_for(
        &self,
        now: Millis,
        publishers: &BTreeMap<EntryName, Publisher>,
    ) -> bool {
        self.vouchers.iter().any(|(publisher, start)| {
            let publisher = publishers.get(publisher);
            publisher.is_some_and(|p| now < p.vouches_until(*start))
        })
    }
}
