//! Errors of applying records of the configuration stream.

use thiserror::Error;

use crate::config::document::Kind;
use crate::field::FieldError;
use crate::ids::DocName;
use crate::ids::Offset;
use crate::ids::Version;

/// The reason why a record was not applied.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Rejected {
    /// The document was changed by an earlier record.
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
    /// The resulting configuration would be invalid.
    #[error(transparent)]
    Invalid(FieldError),
    /// The record is corrupt or has an unsupported format.
    #[error("not readable: {0}")]
    Unreadable(FieldError),
    /// Earlier records are missing, so the record cannot be validated; a snapshot is needed first.
    #[error("record {found} came before record {next} was read")]
    Gap {
        /// The offset of the expected record.
        next: Offset,
        /// The offset of the record received.
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
