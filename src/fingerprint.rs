//! Fingerprints of requests.

use sha2::Digest;
use sha2::Sha256;

use crate::ids::AccountId;
use crate::ids::Fingerprint;

impl Fingerprint {
    /// Returns the fingerprint of what a request consists of.
    ///
    /// A caller that could choose a request with another one's fingerprint could have that one refused.
    pub(crate) fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let (first, _) = digest.split_at(size_of::<u64>());
        Self(
            first
                .iter()
                .fold(0, |bits, byte| bits << 8 | u64::from(*byte)),
        )
    }

    /// Returns the fingerprint of the same request as one of a client account.
    pub(crate) fn of_account(self, account: &AccountId) -> Self {
        Self::of(&[account.as_str().as_bytes(), &self.0.to_le_bytes()])
    }
}

#[cfg(test)]
mod tests;
