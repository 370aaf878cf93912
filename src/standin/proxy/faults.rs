//! A link's faults.

use serde::Deserialize;
use serde::Serialize;

/// What is out of order on a link; a new set replaces the old one, so that `{}` mends all.
///
/// What is held back is not lost: it goes on once the fault is mended, as TCP would send it again. Losing bytes of a
/// connection that lives on would be a fault that TCP never has. A sender that resets its connection sends nothing again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Faults {
    /// Resets each connection, the new ones as soon as they are accepted.
    pub(crate) cut: bool,
    /// How long each byte is on its way, in milliseconds, in either direction.
    pub(crate) delay_ms: u64,
    /// Accepts connections, but holds all back both ways, and does not connect the new ones.
    pub(crate) half_open: bool,
    /// Holds back what goes to the server.
    pub(crate) drop_to: bool,
    /// Holds back what comes from the server.
    pub(crate) drop_from: bool,
    /// Resets a connection as soon as either direction has carried so many bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) reset_after_bytes: Option<u64>,
}

/// The two directions of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// From the caller to the server.
    To,
    /// From the server to the caller.
    From,
}

impl Faults {
    /// Returns whether a direction is held back.
    pub(crate) fn holds(&self, direction: Direction) -> bool {
        let dropped = match direction {
            Direction::To => self.drop_to,
            Direction::From => self.drop_from,
        };
        dropped || self.half_open
    }
}
