//! What one entry has of another one's publication.

use crate::prelude::*;

/// One start of a publisher.
pub(super) type PublicationId = (u64, u32);

/// What is known of one entry's publication.
#[derive(Clone, Copy, Debug)]
pub(super) struct Publisher {
    pub(super) publication: PublicationId,
    pub(super) applied_change: u64,
    pub(super) newest_change: u64,
    pub(super) expires_at: Millis,
    pub(super) previous_expires_at: Millis,
    pub(super) last_request: Option<Millis>,
}

/// How far the copy of a publication is behind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublicationLag {
    /// The publisher's start.
    pub incarnation: u64,
    /// The publication's generation.
    pub generation: u32,
    /// The last change that is held.
    pub applied_change: u64,
}

impl Publisher {
    pub(super) fn new(
        start: PublicationId,
        previous_until: Millis,
    ) -> Self {
        Self {
            publication: start,
            applied_change: 0,
            newest_change: 0,
            expires_at: previous_until,
            previous_expires_at: previous_until,
            last_request: None,
        }
    }

    /// Returns until when the publisher vouches for what it published in a start of its.
    pub(super) fn lease_expiry(
        &self,
        start: PublicationId,
    ) -> Millis {
        if start == self.publication {
            self.expires_at
        } else {
            self.previous_expires_at
        }
    }

    pub(super) fn lag(&self) -> Option<PublicationLag> {
        (self.applied_change < self.newest_change).then_some(PublicationLag {
            incarnation: self.publication.0,
            generation: self.publication.1,
            applied_change: self.applied_change,
        })
    }
}
