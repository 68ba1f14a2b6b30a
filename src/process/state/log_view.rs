//! How a reader sees the log.

use {
    crate::{prelude::*, process::platform::Offset},
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Whether a reader keeps up with the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogCondition {
    /// No answer has come yet.
    #[default]
    #[display("starting")]
    Starting,
    /// The log answers and records are folded as they come.
    #[display("following")]
    Following,
    /// The log does not answer.
    #[display("unreachable")]
    Unreachable,
    /// Records were dropped before they were read here; a snapshot is looked for.
    #[display("gap")]
    Gap,
    /// The log ends before what was read here: it is not the same log.
    #[display("replaced")]
    Replaced,
}

/// What the last answers of the log told.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LogView {
    /// Whether the reader keeps up.
    pub condition: LogCondition,
    /// The oldest kept offset.
    pub first: Offset,
    /// The offset that the next record will get.
    pub end: Offset,
    /// When the last answer came.
    #[serde(skip)]
    pub last_answer_at: Millis,
}
