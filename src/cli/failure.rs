//! Failures of commands, and their exit codes.

use thiserror::Error;

/// The exit code for an invalid command line.
pub(crate) const USAGE: u8 = 2;

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// It failed without an effect.
    #[error("{0:#}")]
    Failed(#[from] anyhow::Error),
    /// Another operator's change was applied first.
    #[error("{0}")]
    Conflict(String),
    /// It was rejected.
    #[error("refused: {0}")]
    Refused(String),
    /// It may have taken effect, or may still do so.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

impl Failure {
    /// Returns the exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Conflict(_) => 3,
            Self::Refused(_) => 4,
            Self::Unknown(_) => 5,
        }
    }
}
