//! The error of a command and its exit code.

use {
    crate::version::Faults,
    derive_more::{Display, Error, From},
    std::{io, process::ExitCode},
};

/// The exit code of a command that failed.
const EXIT_FAILED: u8 = 1;

/// The exit code of invalid usage, unreadable files, invalid settings and invalid documents.
const EXIT_USAGE: u8 = 2;

/// The reason why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// The arguments are invalid, or the entry rejected the document.
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] String),
    /// A settings file or a document has faults.
    #[display("{_0}")]
    Faults(Faults),
    /// A file could not be read.
    #[display("{path}: {source}")]
    File {
        /// The file's path.
        path: String,
        /// The error of the read.
        source: io::Error,
    },
    /// An operation of the operating system failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The command was valid but did not succeed.
    #[display("{_0}")]
    #[from(skip)]
    Failed(#[error(not(source))] String),
}

impl CliError {
    /// Returns the exit code: 1 for a failure, 2 for invalid usage, settings or documents and for
    /// files that cannot be read.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Usage(_) | Self::Faults(_) | Self::File { .. } => EXIT_USAGE,
            Self::Io(_) | Self::Failed(_) => EXIT_FAILED,
        };
        ExitCode::from(code)
    }
}
