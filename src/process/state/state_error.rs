//! Errors of appends to the log.

use derive_more::{Display, Error};

/// Reason why an append was not confirmed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum StateError {
    /// The record is not in the log and will not be appended later.
    #[display("the log is unavailable; nothing was recorded")]
    NotRecorded,
    /// The record may be in the log.
    #[display("the log's answer was lost; it is not known whether the record was stored")]
    Unknown,
}
