//! Snapshots of the whole configuration, exchanged between routers.

use serde::Deserialize;
use serde::Serialize;

use crate::config::document::Body;
use crate::config::document::Kind;
use crate::ids::DocName;
use crate::ids::Offset;
use crate::ids::Version;

/// A document of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: DocName,
    /// Its version.
    pub version: Version,
    /// Its content.
    pub body: Body,
}

/// The whole configuration as of an offset, for a router that cannot read the log or needs records that have expired.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The offset of the first record that is not included.
    pub next: Offset,
    /// The version of the last accepted record.
    pub version: Version,
    /// The documents, sorted by kind and name.
    pub documents: Vec<Document>,
}
