//! Hashes of bearer keys.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::field::FieldError;

/// The number of hex digits of a hash.
const DIGITS: usize = 64;

/// The SHA-256 of a bearer key. Configuration and settings contain it instead of the key, so that reading them does not
/// reveal the key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; DIGITS / 2]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(bearer: &str) -> Self {
        Self(Sha256::digest(bearer.as_bytes()).into())
    }

    pub(crate) fn parse(text: &str) -> Option<Self> {
        if text.len() != DIGITS || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let mut hash = Self::default();
        for (at, byte) in hash.0.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
        }
        Some(hash)
    }

    /// Deserializes a hash. The error does not repeat the value, since an operator may have entered the key itself.
    pub(crate) fn check(path: &str, text: &str) -> Result<Self, FieldError> {
        let found = || format!("a text of {} bytes", text.len());
        let allowed = "the key's SHA-256, 64 hex digits";
        Self::parse(text).ok_or_else(|| FieldError::new(path, found(), allowed))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = FieldError;

    fn from_str(text: &str) -> Result<Self, FieldError> {
        Self::check(".", text)
    }
}
