//! Settings with a fixed set of values.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
/// What happens to the end marker of a complete answer while its bill cannot reach the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndMarker {
    /// It is held back until the bill is in the log.
    Hold,
    /// It is sent once routers in other failure domains have stored the bill.
    #[default]
    Peers,
}

/// The lowest severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Conditions that may become faults.
    Warn,
    /// Starts and ends of operations.
    #[default]
    Info,
    /// Individual steps.
    Debug,
    /// Everything.
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
