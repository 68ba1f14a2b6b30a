//! Traffic accounting for the link between regions.

use {
    crate::{prelude::*, process::metrics::Metrics},
    derive_more::Display,
};

/// The purpose of a message that crosses the link.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum LinkPurpose {
    /// Callers' requests and answers.
    #[display("requests")]
    Requests,
    /// Starts, renewals and ends of a gang's tasks.
    #[display("gang")]
    Gang,
    /// Announcements, heartbeats and summaries of upstreams.
    #[display("membership")]
    Membership,
    /// Document versions and layouts for guards.
    #[display("documents")]
    Documents,
    /// State transferred between entries, and calls to the platform's log.
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

/// Counts the bytes that one process sends and receives across the link, by purpose.
#[derive(Clone)]
pub struct LinkTraffic {
    region: Region,
    metrics: Rc<Metrics>,
}

impl LinkTraffic {
    /// Creates the counter for a process in a region.
    pub fn new(
        region: Region,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self { region, metrics }
    }

    /// Returns the region of the process.
    pub fn own_region(&self) -> &Region {
        &self.region
    }

    /// Returns whether messages to or from a region cross the link.
    pub fn crosses(
        &self,
        other: &Region,
    ) -> bool {
        *other != self.region
    }

    /// Counts a message to or from a region if it crosses the link; `bytes` is its size.
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

    /// Returns the number of bytes counted for a purpose.
    pub fn bytes(
        &self,
        purpose: LinkPurpose,
    ) -> u64 {
        let purpose = purpose.to_string();
        self.metrics.link_bytes.with_label_values(&[&purpose]).get()
    }
}
