//! Why a record of the configuration's stream changed nothing.

use thiserror::Error;

use crate::config::document::Kind;
use crate::field::FieldError;
use crate::ids::DocName;
use crate::ids::Offset;
use crate::ids::Version;

/// Why a record changed nothing.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Rejected {
    /// Another change of the document came first.
    #[error("{kind}/{name}: based on version {base}, but version {current} is in force")]
    Conflict {
        /// The document's kind.
        kind: Kind,
        /// The document's name.
        name: DocName,
        /// The version that the change is based on.
        base: Version,
        /// The version in force.
        current: Version,
    },
    /// The configuration that would result is not sound.
    #[error(transparent)]
    Invalid(FieldError),
    /// The record is damaged or of another format.
    #[error("not readable: {0}")]
    Unreadable(FieldError),
    /// Records before this one are missing, so that nothing can be said of it; a snapshot is needed first.
    #[error("record {found} came before record {next} was read")]
    Gap {
        /// The record that is wanted.
        next: Offset,
        /// The record that came.
        found: Offset,
    },
}

impl Rejected {
    pub(crate) fn invalid<P, F, A>(path: P, found: F, allowed: A) -> Self
    where
        P: Into<String>,
        F: Into<String>,
        A: Into<String>,
    {
        Self::Invalid(FieldError::new(path, found, allowed))
    }
}
