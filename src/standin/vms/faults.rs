//! The VM list's faults.

use serde::Deserialize;
use serde::Serialize;

/// What is out of order, besides an outage.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Faults {
    /// Holds each answer back, in milliseconds.
    pub(crate) delay_ms: u64,
}
