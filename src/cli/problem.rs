//! A refusal, as a router sends it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::cli::failure::Failure;
use crate::http_client::Answer;

/// An RFC 9457 problem; what a router leaves out stays empty.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Problem {
    /// The HTTP status.
    #[serde(default)]
    pub(crate) status: u16,
    /// The kind, for people.
    #[serde(default)]
    pub(crate) title: String,
    /// The particulars, for people.
    #[serde(default)]
    pub(crate) detail: String,
    /// `no`, `unknown` or `yes`: whether the request was run.
    #[serde(default)]
    pub(crate) ran: Option<String>,
    /// Which router to go to instead, `ip:port`.
    #[serde(default)]
    pub(crate) instead: Option<String>,
}

impl Problem {
    /// Reads a problem; an answer that holds none gives one with its status alone.
    pub(crate) fn read(answer: &Answer) -> Self {
        let problem: Self = serde_json::from_slice(&answer.body).unwrap_or_default();
        Self {
            status: answer.status.as_u16(),
            ..problem
        }
    }

    /// Returns how a command ends that got this answer. A server's error that does not say that nothing was run
    /// leaves it open.
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
