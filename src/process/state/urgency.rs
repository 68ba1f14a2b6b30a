//! Append priority of records.

use super::{JobRecord, RecordBody};

/// Append priority of a record. After an outage the more urgent records are appended first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// Changes by operators, cancellations, layouts and changes of job ownership.
    Urgent,
    /// New work, its results, and everything else.
    Normal,
    /// Snapshots, and placement reports that only inform the other entries.
    Background,
}

impl RecordBody {
    /// Returns the append priority of the record.
    pub fn urgency(&self) -> Urgency {
        match self {
            Self::Document(_)
            | Self::Drain(_)
            | Self::Layout(_)
            | Self::Job(JobRecord::Cancelled { .. } | JobRecord::OwnerChanged { .. }) => {
                Urgency::Urgent
            }
            Self::Snapshot(_) | Self::Placement(_) => Urgency::Background,
            _ => Urgency::Normal,
        }
    }
}
