//! How a command ends.

use thiserror::Error;

/// The exit code of a command line that cannot be read.
pub(crate) const USAGE: u8 = 2;

/// Why a command did not do what it was asked to.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// It failed, and changed nothing.
    #[error("{0:#}")]
    Failed(#[from] anyhow::Error),
    /// Another operator's change came first.
    #[error("{0}")]
    Conflict(String),
    /// It was understood and refused.
    #[error("refused: {0}")]
    Refused(String),
    /// It may have taken effect, or may yet do so.
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
