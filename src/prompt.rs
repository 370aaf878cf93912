//! Prompts: their tokens, and the blocks in the prefix caches of model engines.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tokens::Tokens;

/// The number of tokens in a block of a prefix cache. 16 is common among engines.
pub const BLOCK_TOKENS: usize = 16;

/// Identifies a block by its content and everything before it, so that equal hashes mean equal prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BlockHash(pub u64);

impl fmt::Display for BlockHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for BlockHash {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for BlockHash {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, ParseIntError> {
        text.parse()
    }
}

impl From<BlockHash> for String {
    fn from(hash: BlockHash) -> Self {
        hash.to_string()
    }
}

/// Counts the tokens of a prompt: its words, and so never more than its bytes.
pub fn prompt_tokens(prompt: &str) -> Tokens {
    Tokens(prompt.split_whitespace().count() as u64)
}

/// Returns the hashes of the complete blocks of a prompt. Each covers the blocks before it.
pub fn prompt_blocks(prompt: &str) -> Vec<BlockHash> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut before = 0;
    let mut hashes = Vec::new();
    for block in words.chunks_exact(BLOCK_TOKENS) {
        before = xxh3_64_with_seed(block.join(" ").as_bytes(), before);
        hashes.push(BlockHash(before));
    }
    hashes
}
