//! Checkpoints: records of the configuration stream that hold the whole configuration.

use serde::Deserialize;
use serde::Serialize;

use crate::config::change_set::FORMAT;
use crate::config::snapshot::Snapshot;

/// A record published by routers that holds the configuration as of an earlier offset.
///
/// The log service keeps records for a limited retention time, and routers have no durable storage. If all routers were
/// replaced at once after that time, the configuration would be lost and every request refused, although nothing had
/// been changed. Renewing the checkpoint within the retention time prevents this.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The format version, 1.
    pub format: u32,
    /// Name of the publisher, informational only.
    pub by: String,
    /// The configuration.
    pub checkpoint: Snapshot,
}

impl Checkpoint {
    /// Creates a checkpoint from a snapshot.
    pub fn new(by: &str, snapshot: Snapshot) -> Self {
        Self {
            format: FORMAT,
            by: by.to_owned(),
            checkpoint: snapshot,
        }
    }

    /// Serializes the checkpoint as JSON.
    ///
    /// # Panics
    ///
    /// Never: every field can be represented as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("checkpoint serializes to JSON")
    }
}
