//! The plain service's faults.

use serde::Deserialize;
use serde::Serialize;

use crate::standin::outage::Outage;
use crate::standin::switch::FaultSet;

/// What is out of order; a new set replaces the old one, so that `{}` mends all.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Faults {
    /// Answers 503.
    pub(crate) down: bool,
    /// Never answers, and records nothing.
    pub(crate) hang: bool,
    /// Holds each call back, in milliseconds, before it is recorded.
    pub(crate) delay_ms: u64,
    /// The probability that a call is recorded but its connection is cut without an answer.
    pub(crate) lose_answer: f64,
    /// The probability that a call is answered 500 and not recorded.
    pub(crate) error_rate: f64,
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
