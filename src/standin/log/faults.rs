//! The log service's faults.

use serde::Deserialize;
use serde::Serialize;

/// What is out of order, besides an outage.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Faults {
    /// Holds each append back, in milliseconds, before it takes effect.
    pub(crate) append_delay_ms: u64,
    /// Holds each read back, in milliseconds.
    pub(crate) read_delay_ms: u64,
    /// The probability that an append takes effect but its connection is cut without an answer.
    pub(crate) lose_answer: f64,
    /// The probability that an append is refused without effect.
    pub(crate) fail_before: f64,
    /// Lets a stream's old records go, now and once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) let_go_before: Option<LetGo>,
}

/// Which records to let go.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LetGo {
    /// The stream's name.
    pub(crate) stream: String,
    /// The offset of the first record that stays.
    pub(crate) offset: u64,
}
