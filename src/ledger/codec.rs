//! Encoding and decoding of batches.

use thiserror::Error;

use crate::ledger::record::Batch;

/// The version of the encoding, written as the first byte of each batch.
pub(crate) const CODEC_VERSION: u8 = 1;

/// Why a record from the log cannot be decoded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The record has no bytes.
    #[error("the record is empty")]
    Empty,
    /// The record has an encoding version that this program does not support.
    #[error("unsupported record version {0}, expected {CODEC_VERSION}")]
    Version(u8),
    /// The bytes are not a valid encoding.
    #[error("invalid record encoding: {0}")]
    Damaged(postcard::Error),
    /// The checksum or the index of a checkpoint part is wrong.
    #[error("checksum or index of the checkpoint part is invalid")]
    Checksum,
}

/// Encodes a batch.
///
/// # Panics
///
/// Never: every batch can be encoded.
pub fn encode(batch: &Batch) -> Vec<u8> {
    let bytes = vec![CODEC_VERSION];
    postcard::to_extend(batch, bytes).expect("a batch can be encoded")
}

/// Decodes a batch.
///
/// # Errors
///
/// When the bytes are not exactly one batch of the supported version.
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
