//! Position, origin and outcome of a record.

use {super::RecordKey, crate::prelude::*, crate::process::platform::Offset};

/// Metadata of a record that the folds receive besides its body.
#[derive(Clone, Debug)]
pub struct RecordCx {
    /// The record's identity.
    pub key: RecordKey,
    /// The entry that wrote it.
    pub writer: EntryName,
    /// The record's offset in the log.
    pub offset: Offset,
    /// When the log stored the record, in milliseconds since the Unix epoch. This is the only time
    /// that a fold may use, as it is the same for every reader.
    pub appended_ms: u64,
}

/// Effect of a record at its position in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordOutcome {
    /// The record took effect.
    Applied,
    /// The document was accepted as this version.
    Accepted(VersionNumber),
    /// The document follows another version than the one in force, which is given here.
    Conflict(VersionNumber),
    /// The record was out of date and changed nothing.
    Stale,
}
