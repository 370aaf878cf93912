//! The log service's faults.

use serde::Deserialize;
use serde::Serialize;

use crate::standin::outage::Outage;
use crate::standin::switch::FaultSet;

/// What is out of order; a new set replaces the old one, so that `{}` mends all.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Faults {
    /// Answers 503.
    pub(crate) down: bool,
    /// Never answers.
    pub(crate) hang: bool,
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
    /// Starts chance afresh from this seed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) seed: Option<u64>,
}

impl FaultSet for Faults {
    fn outage(&self) -> Outage {
        Outage {
            down: self.down,
            hang: self.hang,
        }
    }

    fn seed(&self) -> Option<u64> {
        self.seed
    }
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
