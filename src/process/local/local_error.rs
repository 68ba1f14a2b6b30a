//! The errors of a local system.

use {
    crate::{connection::HttpClientError, process::cli::CliError},
    derive_more::{Display, Error, From},
    std::io,
};

/// An error of a local system or its demonstrations.
#[derive(Debug, Display, Error, From)]
pub enum LocalError {
    /// A socket operation, or a write to standard output, failed.
    #[display("{_0}")]
    Io(io::Error),
    /// A call of the demonstration was not answered.
    #[display("{_0}")]
    Call(HttpClientError),
    /// A step was refused, was impossible or timed out.
    #[display("{_0}")]
    #[from(skip)]
    StepFailed(#[error(not(source))] &'static str),
}

impl From<LocalError> for CliError {
    fn from(e: LocalError) -> Self {
        Self::Failed(e.to_string())
    }
}
