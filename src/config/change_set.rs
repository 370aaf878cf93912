//! Sets of changes that operators publish.

use serde::Deserialize;
use serde::Serialize;

use crate::config::check;
use crate::config::document::Body;
use crate::config::document::Kind;
use crate::config::record::Record;
use crate::config::rejected::Rejected;
use crate::field::FieldError;
use crate::ids::DocName;
use crate::ids::Version;

/// The format version that this program reads and writes.
pub(crate) const FORMAT: u32 = 1;

/// A record published by operators, in JSON: changes that are accepted together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// The format version, 1.
    pub format: u32,
    /// Name of the publisher, informational only.
    pub by: String,
    /// A random identifier by which a publisher recognizes its own record if the response to its append was lost.
    #[serde(default)]
    pub id: String,
    /// The changes, at most one per document.
    pub changes: Vec<Change>,
}

/// A change of one document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The document's kind.
    pub kind: Kind,
    /// The document's name.
    pub name: DocName,
    /// The version that the change is based on; 0 or omitted for a new document.
    #[serde(default)]
    pub base: Version,
    /// The new content; `null` deletes the document.
    pub body: Option<Body>,
}

impl ChangeSet {
    /// Creates a record from changes.
    pub fn new(by: &str, changes: Vec<Change>) -> Self {
        Self {
            format: FORMAT,
            by: by.to_owned(),
            id: String::new(),
            changes,
        }
    }

    /// Parses a record.
    ///
    /// # Errors
    ///
    /// [`Rejected::Unreadable`] if the bytes are not a set of changes in this format.
    pub fn parse(bytes: &[u8]) -> Result<Self, Rejected> {
        match Record::parse(bytes)? {
            Record::Changes(change_set) => Ok(change_set),
            Record::Checkpoint(_) => Err(Rejected::Unreadable(FieldError::new(
                "checkpoint",
                "a checkpoint",
                "changes",
            ))),
        }
    }

    /// Serializes the record as JSON.
    ///
    /// # Panics
    ///
    /// Never: every field can be represented as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("change set serializes to JSON")
    }

    /// Validates the changes as far as possible without the configuration that they will be applied to.
    ///
    /// # Errors
    ///
    /// Reports the first invalid field.
    pub fn check(&self) -> Result<(), Rejected> {
        check::check_count(&self.changes)?;
        self.changes.iter().try_for_each(check::check_change)
    }
}
