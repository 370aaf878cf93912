//! A faster hasher for keys that callers do not choose.
//!
//! The standard hasher resists keys crafted to collide, but took a quarter or more of the time of a choice. VM names
//! come from the VM list, and block hashes are already hashed; a crafted collision slows down only its author.

use std::hash::Hasher;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An odd number with evenly distributed bits: 2^64 divided by the golden ratio.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hashes VM names, hashes and small numbers.
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
        // Spreads the value over all bits, since the hash table also uses the top bits.
        self.0 = (self.0 ^ number).wrapping_mul(MULTIPLIER);
    }
}
