//! The faults that every stand-in has.

use serde::Deserialize;
use serde::Serialize;

use crate::standin::server::Reply;

/// How a stand-in is out of order as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Outage {
    /// Answers 503.
    pub(crate) down: bool,
    /// Never answers.
    pub(crate) hang: bool,
    /// Starts chance afresh from this seed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) seed: Option<u64>,
}

impl Outage {
    /// The names of its fields.
    pub(crate) const FIELDS: [&str; 3] = ["down", "hang", "seed"];

    /// Returns the reply that it forces, if any.
    pub(crate) fn reply(self) -> Option<Reply> {
        if self.hang {
            return Some(Reply::Hang);
        }
        self.down.then(|| Reply::unavailable("down", 1))
    }
}
