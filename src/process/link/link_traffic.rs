//! Counts what crosses the link between regions.

use {
    crate::{prelude::*, process::metrics::Metrics},
    derive_more::Display,
};

/// What a message that crosses the link is for.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum LinkPurpose {
    /// A caller's request or its answer.
    #[display("requests")]
    Requests,
    /// The start, renewal or end of a gang's tasks.
    #[display("gang")]
    Gang,
    /// Announcements, heartbeats and summaries of upstreams.
    #[display("membership")]
    Membership,
    /// Document versions and layouts for guards.
    #[display("documents")]
    Documents,
    /// State that one entry gives another, and calls to the platform's log.
    #[display("state")]
    State,
}

impl LinkPurpose {
    /// All purposes.
    pub const ALL: [Self; 5] = [
        Self::Requests,
        Self::Gang,
        Self::Membership,
        Self::Documents,
        Self::State,
    ];
}

/// Counts the bytes of one process that cross the link, sent and received, by purpose.
#[derive(Clone)]
pub struct LinkTraffic {
    region: Region,
    metrics: Rc<Metrics>,
}

impl LinkTraffic {
    /// Creates the account of a process in a region.
    pub fn new(
        own: Region,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self {
            region: own,
            metrics,
        }
    }

    /// Returns the region of the process.
    pub fn own_region(&self) -> &Region {
        &self.region
    }

    /// Tells whether messages to or from a region cross the link.
    pub fn crosses(
        &self,
        other: &Region,
    ) -> bool {
        *other != self.region
    }

    /// Counts a message to or from a region, if it crosses the link.
    pub fn count(
        &self,
        other: &Region,
        purpose: LinkPurpose,
        bytes: usize,
    ) {
        if self.crosses(other) {
            self.count_crossing(purpose, bytes);
        }
    }

    /// Counts a message that is known to cross the link.
    pub fn count_crossing(
        &self,
        purpose: LinkPurpose,
        bytes: usize,
    ) {
        let purpose = purpose.to_string();
        let counter = self.metrics.link_bytes.with_label_values(&[&purpose]);
        counter.inc_by(bytes as u64);
    }

    /// Returns the bytes counted for a purpose.
    pub fn bytes(
        &self,
        purpose: LinkPurpose,
    ) -> u64 {
        let purpose = purpose.to_string();
        self.metrics.link_bytes.with_label_values(&[&purpose]).get()
    }
}
