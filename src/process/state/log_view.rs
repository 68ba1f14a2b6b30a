//! Status of the log as one reader observes it.

use {
    crate::{prelude::*, process::platform::Offset},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Condition of the connection between a reader and the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogCondition {
    /// The log has not answered yet.
    #[default]
    #[display("starting")]
    Starting,
    /// The log answers, and records are folded as they arrive.
    #[display("following")]
    Following,
    /// The log does not answer.
    #[display("unreachable")]
    Unreachable,
    /// The log dropped records that this reader had not read; the reader searches for a snapshot.
    #[display("gap")]
    Gap,
    /// The log ends before the offset that this reader has reached, so it is a different log.
    #[display("replaced")]
    Replaced,
}

/// Status of the log as of its last answer.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LogView {
    /// Condition of the connection to the log.
    pub condition: LogCondition,
    /// Offset of the oldest retained record.
    pub first: Offset,
    /// Offset that the next appended record will get.
    pub end: Offset,
    /// Time of the last answer on the local clock.
    #[serde(skip)]
    pub last_answer_at: Millis,
}
