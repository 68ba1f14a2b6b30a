//! Where a record stands and who wrote it.

use {super::RecordKey, crate::prelude::*, crate::process::platform::Offset};

/// What the fold of each matter is told of a record besides its body.
#[derive(Clone, Debug)]
pub struct RecordCx {
    /// The record's identity.
    pub key: RecordKey,
    /// The entry that wrote it.
    pub writer: EntryName,
    /// The record's place on the log.
    pub offset: Offset,
    /// When the log took the record, in milliseconds since the Unix epoch. This is the only time
    /// that a fold may look at, as every reader sees the same.
    pub appended_ms: u64,
}

/// What became of a record where it stands on the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordOutcome {
    /// The record took effect.
    Applied,
    /// The document was accepted as this version.
    Accepted(VersionNumber),
    /// The document follows another version than this one, which is in force.
    Conflict(VersionNumber),
    /// The record came too late and changed nothing.
    Stale,
}
