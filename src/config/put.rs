//! What operators publish.

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

/// The format that this version reads and writes.
pub(crate) const FORMAT: u32 = 1;

/// A record that operators publish, written as JSON: changes that are accepted together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// The format, 1.
    pub format: u32,
    /// Who publishes it, for people.
    pub by: String,
    /// A random mark by which a publisher finds its own record when the answer to its append was lost.
    #[serde(default)]
    pub id: String,
    /// The changes; each document at most once.
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
    /// The version that the change is based on: 0, or nothing, where there is no such document yet.
    #[serde(default)]
    pub base: Version,
    /// The new content; `null` deletes the document.
    pub body: Option<Body>,
}

impl Put {
    /// Makes a record of changes.
    pub fn new(by: &str, changes: Vec<Change>) -> Self {
        Self {
            format: FORMAT,
            by: by.to_owned(),
            id: String::new(),
            changes,
        }
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// [`Rejected::Unreadable`] when the bytes are no put of this format.
    pub fn parse(bytes: &[u8]) -> Result<Self, Rejected> {
        match Record::parse(bytes)? {
            Record::Put(put) => Ok(put),
            Record::Checkpoint(_) => Err(Rejected::Unreadable(FieldError::new(
                "checkpoint",
                "a checkpoint",
                "changes",
            ))),
        }
    }

    /// Writes a record.
    ///
    /// # Panics
    ///
    /// Never: each part of it can be written as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a put is JSON")
    }

    /// Checks each change by itself, as far as that tells without the configuration that it will meet.
    ///
    /// # Errors
    ///
    /// With the first field that is wrong.
    pub fn check(&self) -> Result<(), Rejected> {
        check::check_count(&self.changes)?;
        self.changes.iter().try_for_each(check::check_change)
    }
}
