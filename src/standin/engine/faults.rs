//! The model engine's faults.

use serde::Deserialize;
use serde::Serialize;

/// How long an engine refuses after a crash where nothing is said, in milliseconds: a quick restart of a process.
const DOWN_MS: u64 = 1000;

/// What is out of order, besides an outage.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Faults {
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
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            crash_on: None,
            down_ms: DOWN_MS,
            token_ms: None,
            freeze_streams: false,
            reset_after_tokens: None,
            error_rate: 0.0,
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
