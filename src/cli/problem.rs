//! Refusals of routers.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::cli::failure::Failure;
use crate::http_client::Answer;

/// An RFC 9457 problem. Fields that a router omits are empty.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Problem {
    /// The HTTP status.
    #[serde(default)]
    pub(crate) status: u16,
    /// The kind, for people.
    #[serde(default)]
    pub(crate) title: String,
    /// The details, for people.
    #[serde(default)]
    pub(crate) detail: String,
    /// `no`, `unknown` or `yes`: whether the request was run.
    #[serde(default)]
    pub(crate) ran: Option<String>,
    /// The router to use instead, `ip:port`.
    #[serde(default)]
    pub(crate) instead: Option<String>,
}

impl Problem {
    /// Parses a problem. An answer without one results in a problem with only the status.
    pub(crate) fn read(answer: &Answer) -> Self {
        let problem: Self = serde_json::from_slice(&answer.body).unwrap_or_default();
        Self {
            status: answer.status.as_u16(),
            ..problem
        }
    }

    /// Returns the failure of a command that received this answer. After a server error, the effect is unknown unless the
    /// problem states that nothing was run.
    pub(crate) fn failure(&self) -> Failure {
        match self.ran.as_deref() {
            Some("no") => Failure::Refused(self.to_string()),
            Some(_) => Failure::Unknown(self.to_string()),
            None if self.status < 500 => Failure::Refused(self.to_string()),
            None => Failure::Unknown(self.to_string()),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.status)?;
        for part in [&self.title, &self.detail] {
            if !part.is_empty() {
                write!(f, ": {part}")?;
            }
        }
        match &self.ran {
            Some(ran) => write!(f, " (ran: {ran})"),
            None => Ok(()),
        }
    }
}
