//! Identifies a stream in records that everybody with access to the log can read.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::decide::StreamKey;

/// The size of a digest in bytes. Two of a million streams have the same one with a probability of 10^-27.
const LENGTH: usize = 16;

/// A digest of a stream's name, which tells neither its client account nor its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct StreamDigest([u8; LENGTH]);

impl StreamDigest {
    /// Returns the digest of a stream's name.
    pub(crate) fn of(key: &StreamKey) -> Self {
        let mut hash = Sha256::new();
        for part in [key.account.as_str(), key.attempt.as_str()] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&digest[..LENGTH]);
        Self(bytes)
    }
}
