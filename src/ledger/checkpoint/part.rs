//! A checkpoint's parts, each one record of its stream.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Offset;
use crate::ledger::codec::DecodeError;
use crate::ledger::fold::Ledger;

/// The most bytes of state in one part: large enough that 430,000 budgets are some hundred appends, small enough that
/// one part does not hold up the appends of claims and bills behind it.
pub const MAX_PART_BYTES: usize = 256 * 1024;

/// The most parts that a checkpoint may have, 256 MiB: a damaged count must not make a reader keep room for billions.
pub const MAX_PARTS: u32 = 1024;

/// The version of the encoding of parts and of the state in them, the first byte of each.
const PART_VERSION: u8 = 1;

/// One part of a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The offset of the first record that the state has not folded.
    pub as_of: Offset,
    /// Its place among the parts, from 0.
    pub index: u32,
    /// How many parts there are.
    pub count: u32,
    /// The checksum of the whole state's bytes.
    pub whole: u64,
    /// The checksum of this part: of its bytes, and of all that says where they belong.
    pub checksum: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

impl Part {
    /// Returns whether it can be a part of anything: its place is among its parts and its bytes are undamaged.
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

/// Cuts a ledger into parts of `size` bytes, [`MAX_PART_BYTES`] or less; none, where it would take more than [`MAX_PARTS`].
///
/// # Panics
///
/// Never: each part of a ledger can be encoded.
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
/// Never: each part can be encoded.
pub fn encode_part(part: &Part) -> Vec<u8> {
    let bytes = vec![PART_VERSION];
    postcard::to_extend(part, bytes).expect("a part can be encoded")
}

/// Decodes a part.
///
/// # Errors
///
/// When the bytes are not exactly one part of this version, or its checksum does not fit.
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
