//! Records of the configuration stream.

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::config::change_set::ChangeSet;
use crate::config::change_set::FORMAT;
use crate::config::checkpoint::Checkpoint;
use crate::config::rejected::Rejected;
use crate::field;
use crate::field::FieldError;

/// A record of the configuration stream.
pub(crate) enum Record {
    /// Changes published by an operator.
    Changes(ChangeSet),
    /// The whole configuration as of an earlier offset.
    Checkpoint(Checkpoint),
}

/// The fields that distinguish records, common to all formats.
#[derive(Deserialize)]
struct Envelope {
    format: u32,
    checkpoint: Option<IgnoredAny>,
}

impl Record {
    /// Parses a record.
    ///
    /// # Errors
    ///
    /// [`Rejected::Unreadable`] if the bytes are not a record of this format.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, Rejected> {
        let envelope: Envelope = field::read_json(bytes).map_err(Rejected::Unreadable)?;
        let format = envelope.format;
        if format != FORMAT {
            let error = FieldError::new("format", format.to_string(), FORMAT.to_string());
            return Err(Rejected::Unreadable(error));
        }
        let record = match envelope.checkpoint {
            None => field::read_json(bytes).map(Self::Changes),
            Some(_) => field::read_json(bytes).map(Self::Checkpoint),
        };
        record.map_err(Rejected::Unreadable)
    }
}
