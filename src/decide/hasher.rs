//! A faster hasher for keys that no caller chooses.
//!
//! The standard one withstands keys made to collide, and took a quarter of a choice's time or more. Names of VMs come from the VM list,
//! and block hashes are hashes already; one made to collide slows only whoever makes it.

use std::hash::Hasher;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An odd number with bits all over: 2^64 over the golden ratio.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hashes names of VMs, hashes and small numbers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FastHasher(u64);

impl Hasher for FastHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }

    fn write_u32(&mut self, number: u32) {
        self.write_u64(number.into());
    }

    fn write_u64(&mut self, number: u64) {
        // Spread over all bits: the table looks at the top ones too.
        self.0 = (self.0 ^ number).wrapping_mul(MULTIPLIER);
    }
}
