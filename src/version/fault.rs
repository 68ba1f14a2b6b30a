//! Faults found in settings files and service documents.

use {
    derive_more::{Display, Error},
    serde::Serialize,
};

/// One fault in a file: its position, what is wrong and what was expected.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{file}:{line}: [{section}] {key}: {message}")]
pub struct Fault {
    /// The file name, as given by the user.
    pub file: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The section header, without brackets.
    pub section: String,
    /// The key, or `-` if the fault concerns the whole section.
    pub key: String,
    /// What is wrong and what was expected.
    pub message: String,
}

/// All faults of one file.
#[derive(Clone, Debug, Default, Display, Error, Serialize)]
#[display("{}", faults.iter().map(|f| format!("{f}\n")).collect::<String>())]
pub struct Faults {
    /// The faults, sorted by line.
    pub faults: Vec<Fault>,
}
