//! The plain service's faults.

use serde::Deserialize;
use serde::Serialize;

/// What is out of order, besides an outage.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Faults {
    /// Holds each call back, in milliseconds, before it is recorded.
    pub(crate) delay_ms: u64,
    /// The probability that a call is recorded but its connection is cut without an answer.
    pub(crate) lose_answer: f64,
    /// The probability that a call is answered 500 and not recorded.
    pub(crate) error_rate: f64,
}
