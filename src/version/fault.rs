//! Faults found in settings files and service documents.

use {
    derive_more::{Display, Error},
    serde::Serialize,
};

/// One fault in a file: where it is, what was found and what was expected.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{file}:{line}: [{section}] {key}: {message}")]
pub struct Fault {
    /// The file's name as the user gave it.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The section, without brackets.
    pub section: String,
    /// The key, or `-` when the fault is about the whole section.
    pub key: String,
    /// What is wrong and what was expected.
    pub message: String,
}

/// All faults of one file, sorted by line.
#[derive(Clone, Debug, Default, Display, Error, Serialize)]
#[display("{}", faults.iter().map(|f| format!("{f}\n")).collect::<String>())]
pub struct Faults {
    /// The faults.
    pub faults: Vec<Fault>,
}
