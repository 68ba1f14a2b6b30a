//! Why a command failed.

use {
    crate::version::Faults,
    derive_more::{Display, Error, From},
    std::{io, process::ExitCode},
};

/// The exit code of a command that failed.
const EXIT_FAILED: u8 = 1;

/// The exit code of bad usage, bad settings and bad documents.
const EXIT_USAGE: u8 = 2;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// The arguments are wrong.
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
        /// The error of reading.
        source: io::Error,
    },
    /// The system failed.
    #[display("{_0}")]
    Io(io::Error),
    /// What the command was to do did not come about.
    #[display("{_0}")]
    #[from(skip)]
    Failed(#[error(not(source))] String),
}

impl CliError {
    /// Returns the exit code: 1 for a failure, 2 for bad usage, settings or documents.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Usage(_) | Self::Faults(_) | Self::File { .. } => EXIT_USAGE,
            Self::Io(_) | Self::Failed(_) => EXIT_FAILED,
        };
        ExitCode::from(code)
    }
}
