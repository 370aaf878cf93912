//! Choices in settings.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
/// What happens to the end marker of a whole answer while its bill cannot reach the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndMarker {
    /// It waits until the bill is in the log.
    Hold,
    /// It goes out once routers in other failure domains keep the bill too.
    #[default]
    Peers,
}

/// The least important events that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Faults that an operator must look at.
    Error,
    /// What may become one.
    Warn,
    /// What began and ended.
    #[default]
    Info,
    /// Each step.
    Debug,
    /// All.
    Trace,
}

impl fmt::Display for LogLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        })
    }
}
