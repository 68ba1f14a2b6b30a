//! Why a local system failed.

use {
    crate::{connection::HttpClientError, process::cli::CliError},
    derive_more::{Display, Error, From},
    std::io,
};

/// Why a local system failed.
#[derive(Debug, Display, Error, From)]
pub enum LocalError {
    /// A socket failed.
    #[display("{_0}")]
    Io(io::Error),
    /// A call of the demonstration brought no answer.
    #[display("{_0}")]
    Call(HttpClientError),
    /// Something did not come about in time.
    #[display("{_0}")]
    #[from(skip)]
    StepFailed(#[error(not(source))] &'static str),
}

impl From<LocalError> for CliError {
    fn from(e: LocalError) -> Self {
        Self::Failed(e.to_string())
    }
}
