//! Why a record is not known to be on the log.

use derive_more::{Display, Error};

/// Why a record is not known to be on the log.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum StateError {
    /// The record is not on the log and will not come there.
    #[display("the log is unavailable; nothing was recorded")]
    NotRecorded,
    /// The record may be on the log.
    #[display("the log's answer was lost; it is not known whether the record stands")]
    Unknown,
}
