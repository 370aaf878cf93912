//! The whole configuration as a record of its own stream.

use serde::Deserialize;
use serde::Serialize;

use crate::config::put::FORMAT;
use crate::config::snapshot::Snapshot;

/// A record that routers publish: the configuration as of an earlier offset.
///
/// The log service keeps records for a limited time, and no router keeps anything. Were all routers replaced at once
/// after that time, the configuration would be gone, and every request refused, with nobody having changed anything. A
/// checkpoint that is renewed within that time carries it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The format, 1.
    pub format: u32,
    /// Who publishes it, for people.
    pub by: String,
    /// The configuration.
    pub checkpoint: Snapshot,
}

impl Checkpoint {
    /// Makes a record of a configuration.
    pub fn new(by: &str, snapshot: Snapshot) -> Self {
        Self {
            format: FORMAT,
            by: by.to_owned(),
            checkpoint: snapshot,
        }
    }

    /// Writes a record.
    ///
    /// # Panics
    ///
    /// Never: each part of it can be written as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a checkpoint is JSON")
    }
}
