//! The parts of a checkpoint, each of them one record of the checkpoint stream.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Offset;
use crate::ledger::codec::DecodeError;
use crate::ledger::fold::Ledger;

/// The maximum bytes of state in one part: large enough that 430,000 budgets take about a hundred appends, and small
/// enough that a part does not delay the appends of claims and bills queued after it.
pub const MAX_PART_BYTES: usize = 256 * 1024;

/// The maximum number of parts in a checkpoint, 256 MiB in total: a corrupt count must not make a reader buffer
/// billions of parts.
pub const MAX_PARTS: u32 = 1024;

/// The version of the encoding of parts and of the state in them, written as the first byte of each part.
const PART_VERSION: u8 = 1;

/// One part of a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The offset of the first ledger record that the state does not include.
    pub as_of: Offset,
    /// The index of this part, from 0.
    pub index: u32,
    /// The number of parts in the checkpoint.
    pub count: u32,
    /// The checksum of the bytes of the whole state.
    pub whole: u64,
    /// The checksum of this part: its bytes and all other fields.
    pub checksum: u64,
    /// The part's bytes of the encoded state.
    pub bytes: Vec<u8>,
}

impl Part {
    /// Returns whether the index, count and size are within their limits and the checksum matches.
    pub(super) fn is_valid(&self) -> bool {
        self.index < self.count
            && self.count <= MAX_PARTS
            && self.bytes.len() <= MAX_PART_BYTES
            && self.checksum == self.compute_checksum()
    }

    fn compute_checksum(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.as_of.0.to_le_bytes());
        hasher.update(&self.index.to_le_bytes());
        hasher.update(&self.count.to_le_bytes());
        hasher.update(&self.whole.to_le_bytes());
        hasher.update(&self.bytes);
        hasher.digest()
    }

    fn with_checksum(mut self) -> Self {
        self.checksum = self.compute_checksum();
        self
    }
}

/// Splits a ledger into parts of `size` bytes, at most [`MAX_PART_BYTES`].
///
/// Returns no parts if it would take more than [`MAX_PARTS`].
///
/// # Panics
///
/// Never: every ledger can be encoded.
pub fn split(ledger: &Ledger, size: usize) -> Vec<Part> {
    let bytes = postcard::to_stdvec(ledger).expect("a ledger can be encoded");
    let whole = xxh3_64(&bytes);
    let chunks = bytes.chunks(size.clamp(1, MAX_PART_BYTES));
    let count = match u32::try_from(chunks.len()) {
        Ok(count) if count <= MAX_PARTS => count,
        _ => return Vec::new(),
    };
    chunks
        .zip(0..)
        .map(|(chunk, index)| Part {
            as_of: ledger.next(),
            index,
            count,
            whole,
            checksum: 0,
            bytes: chunk.to_vec(),
        })
        .map(Part::with_checksum)
        .collect()
}

/// Encodes a part.
///
/// # Panics
///
/// Never: every part can be encoded.
pub fn encode_part(part: &Part) -> Vec<u8> {
    let bytes = vec![PART_VERSION];
    postcard::to_extend(part, bytes).expect("a part can be encoded")
}

/// Decodes a part.
///
/// # Errors
///
/// When the bytes are not exactly one part of the supported version, or the part is invalid.
pub fn decode_part(bytes: &[u8]) -> Result<Part, DecodeError> {
    let (version, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if *version != PART_VERSION {
        return Err(DecodeError::Version(*version));
    }
    let (part, left): (Part, _) = postcard::take_from_bytes(rest).map_err(DecodeError::Damaged)?;
    match left.is_empty() && part.is_valid() {
        true => Ok(part),
        false => Err(DecodeError::Checksum),
    }
}
