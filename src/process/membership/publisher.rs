//! What one entry has of another one's publication.

use crate::prelude::*;

/// One start of a publisher.
pub(super) type Start = (u64, u32);

/// What is known of one entry's publication.
#[derive(Clone, Copy, Debug)]
pub(super) struct Publisher {
    pub(super) start: Start,
    pub(super) have: u64,
    pub(super) newest: u64,
    pub(super) until: Millis,
    pub(super) previous_until: Millis,
    pub(super) asked: Option<Millis>,
}

/// How far the copy of a publication is behind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Behind {
    /// The publisher's start.
    pub incarnation: u64,
    /// The publication's generation.
    pub generation: u32,
    /// The last change that is held.
    pub have: u64,
}

impl Publisher {
    pub(super) fn begin(
        start: Start,
        previous_until: Millis,
    ) -> Self {
        Self {
            start,
            have: 0,
            newest: 0,
            until: previous_until,
            previous_until,
            asked: None,
        }
    }

    /// Returns until when the publisher vouches for what it published in a start of its.
    pub(super) fn vouches_until(
        &self,
        start: Start,
    ) -> Millis {
        if start == self.start {
            self.until
        } else {
            self.previous_until
        }
    }

    pub(super) fn behind(&self) -> Option<Behind> {
        (self.have < self.newest).then_some(Behind {
            incarnation: self.start.0,
            generation: self.start.1,
            have: self.have,
        })
    }
}
