//! Batches as bytes.

use thiserror::Error;

use crate::ledger::record::Batch;

/// The version of the encoding, the first byte of each batch.
pub(crate) const CODEC_VERSION: u8 = 1;

/// Tells why bytes from the log are no batch that this version reads.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// There are no bytes.
    #[error("the record is empty")]
    Empty,
    /// Another version of the program wrote it.
    #[error("the record has version {0}, and {CODEC_VERSION} is read")]
    Version(u8),
    /// The bytes are damaged.
    #[error("the record cannot be read: {0}")]
    Damaged(postcard::Error),
    /// The bytes of a checkpoint's part are not those that were written.
    #[error("the part's checksum or place does not fit")]
    Checksum,
}

/// Encodes a batch.
///
/// # Panics
///
/// Never: each part of a batch can be encoded.
pub fn encode(batch: &Batch) -> Vec<u8> {
    let bytes = vec![CODEC_VERSION];
    postcard::to_extend(batch, bytes).expect("a batch can be encoded")
}

/// Decodes a batch.
///
/// # Errors
///
/// When the bytes are not exactly one batch of this version.
pub fn decode(bytes: &[u8]) -> Result<Batch, DecodeError> {
    let (version, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if *version != CODEC_VERSION {
        return Err(DecodeError::Version(*version));
    }
    let (batch, left) = postcard::take_from_bytes(rest).map_err(DecodeError::Damaged)?;
    if !left.is_empty() {
        return Err(DecodeError::Damaged(
            postcard::Error::DeserializeUnexpectedEnd,
        ));
    }
    Ok(batch)
}
