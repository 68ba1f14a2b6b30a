//! Which records go first.

use super::{JobRecord, RecordBody};

/// How urgent a record is. After an outage the more urgent ones are appended first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// Decisions of operators and accounts, and who owns what.
    Urgent,
    /// New work and its ends.
    Normal,
    /// What is written again only so that it is kept.
    Background,
}

impl RecordBody {
    /// Returns how urgent the record is.
    pub fn urgency(&self) -> Urgency {
        match self {
            Self::Document(_)
            | Self::Drain(_)
            | Self::Layout(_)
            | Self::Job(JobRecord::Cancelled { .. } | JobRecord::Owner { .. }) => Urgency::Urgent,
            Self::Snapshot(_) | Self::Placement(_) => Urgency::Background,
            _ => Urgency::Normal,
        }
    }
}
