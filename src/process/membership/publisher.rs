//! The state of one entry's copy of another entry's publication.

use crate::prelude::*;

/// One publication of an entry: the entry's incarnation and the generation within it.
pub(super) type PublicationId = (u64, u32);

/// The state of the copy of one entry's publication.
#[derive(Clone, Copy, Debug)]
pub(super) struct Publisher {
    pub(super) publication: PublicationId,
    pub(super) applied_change: u64,
    pub(super) newest_change: u64,
    pub(super) expires_at: Millis,
    pub(super) previous_expires_at: Millis,
    pub(super) last_request: Option<Millis>,
}

/// The position of a copy that lags behind its publication.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublicationLag {
    /// The publisher's incarnation.
    pub incarnation: u64,
    /// The publication's generation.
    pub generation: u32,
    /// The last change that is applied.
    pub applied_change: u64,
}

impl Publisher {
    /// Creates the state for a publication of which no change is applied.
    pub(super) fn new(
        publication: PublicationId,
        previous_expires_at: Millis,
    ) -> Self {
        Self {
            publication,
            applied_change: 0,
            newest_change: 0,
            expires_at: previous_expires_at,
            previous_expires_at,
            last_request: None,
        }
    }

    /// Returns when the rows of a publication expire: the current one with the publisher's lease,
    /// an earlier one with the lease at the time when it was replaced.
    pub(super) fn lease_expiry(
        &self,
        publication: PublicationId,
    ) -> Millis {
        if publication == self.publication {
            self.expires_at
        } else {
            self.previous_expires_at
        }
    }

    /// Returns the position of the copy if it lags behind the publication.
    pub(super) fn lag(&self) -> Option<PublicationLag> {
        (self.applied_change < self.newest_change).then_some(PublicationLag {
            incarnation: self.publication.0,
            generation: self.publication.1,
            applied_change: self.applied_change,
        })
    }
}
