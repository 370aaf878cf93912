//! The faults that every stand-in has.

use serde::Deserialize;
use serde::Serialize;

use crate::standin::server::Reply;

/// How a stand-in is out of order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Outage {
    /// Answers 503.
    pub(crate) down: bool,
    /// Never answers.
    pub(crate) hang: bool,
}

impl Outage {
    /// Returns the reply that it forces, if any.
    pub(crate) fn reply(self) -> Option<Reply> {
        if self.hang {
            return Some(Reply::Hang);
        }
        self.down.then(|| Reply::unavailable("down", 1))
    }
}
