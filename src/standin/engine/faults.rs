//! The model engine's faults.

use serde::Deserialize;
use serde::Serialize;

use crate::standin::outage::Outage;
use crate::standin::switch::FaultSet;

/// How long an engine refuses after a crash where nothing is said, in milliseconds: a quick restart of a process.
const DOWN_MS: u64 = 1000;

/// What is out of order; a new set replaces the old one, so that `{}` mends all.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Faults {
    /// Answers 503.
    pub(crate) down: bool,
    /// Never answers, and runs nothing.
    pub(crate) hang: bool,
    /// A prompt that holds this text crashes the engine when it is run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) crash_on: Option<String>,
    /// How long it refuses after a crash, in milliseconds.
    pub(crate) down_ms: u64,
    /// Milliseconds from one token to the next, in place of the setting.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) token_ms: Option<u64>,
    /// Sends nothing more on any stream, while the runs go on.
    pub(crate) freeze_streams: bool,
    /// Cuts each stream's connection after so many tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) reset_after_tokens: Option<u64>,
    /// The probability that a request is answered 500 and not run.
    pub(crate) error_rate: f64,
    /// Starts chance afresh from this seed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) seed: Option<u64>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            hang: false,
            crash_on: None,
            down_ms: DOWN_MS,
            token_ms: None,
            freeze_streams: false,
            reset_after_tokens: None,
            error_rate: 0.0,
            seed: None,
        }
    }
}

impl Faults {
    /// Returns whether a prompt crashes the engine.
    pub(crate) fn crashes(&self, prompt: &str) -> bool {
        let text = self.crash_on.as_deref();
        text.is_some_and(|text| prompt.contains(text))
    }
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
