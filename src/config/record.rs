//! What stands in the configuration's stream.

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::config::checkpoint::Checkpoint;
use crate::config::put::FORMAT;
use crate::config::put::Put;
use crate::config::rejected::Rejected;
use crate::field;
use crate::field::FieldError;

/// What stands in the configuration's stream.
pub(crate) enum Record {
    /// Changes.
    Put(Put),
    /// All that was in force.
    Checkpoint(Checkpoint),
}

/// What tells records apart, and is the same in all formats.
#[derive(Deserialize)]
struct Envelope {
    format: u32,
    checkpoint: Option<IgnoredAny>,
}

impl Record {
    /// Reads a record.
    ///
    /// # Errors
    ///
    /// [`Rejected::Unreadable`] when the bytes are no record of this format.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, Rejected> {
        let envelope: Envelope = field::read_json(bytes).map_err(Rejected::Unreadable)?;
        let format = envelope.format;
        if format != FORMAT {
            let error = FieldError::new("format", format.to_string(), FORMAT.to_string());
            return Err(Rejected::Unreadable(error));
        }
        let record = match envelope.checkpoint {
            None => field::read_json(bytes).map(Self::Put),
            Some(_) => field::read_json(bytes).map(Self::Checkpoint),
        };
        record.map_err(Rejected::Unreadable)
    }
}
