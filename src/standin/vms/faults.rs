//! The VM list's faults.

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
    /// Never answers.
    pub(crate) hang: bool,
    /// Holds each answer back, in milliseconds.
    pub(crate) delay_ms: u64,
}

impl FaultSet for Faults {
    fn outage(&self) -> Outage {
        Outage {
            down: self.down,
            hang: self.hang,
        }
    }

    fn seed(&self) -> Option<u64> {
        None
    }
}
