//! Grant records and their encoding.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::escrow::SpendPace;
use crate::ids::Incarnation;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::moment::ClockReading;
use crate::tokens::Tokens;

/// Separates the parts of a key; names contain no control characters.
const KEY_SEPARATOR: char = '\t';

/// Why a record is not a grant.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(crate) enum RecordError {
    /// The key does not consist of three valid names.
    #[error("key {0:?} does not have the form VM, incarnation, team")]
    Key(String),
    /// The value cannot be decoded.
    #[error("grant value cannot be decoded: {0}")]
    Value(String),
}

/// The key of a grant: whose it is, and of which budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GrantKey {
    /// The router's VM.
    pub(crate) vm: VmId,
    /// The incarnation of its process.
    pub(crate) router: Incarnation,
    /// The team whose budget is granted.
    pub(crate) team: TeamId,
}

impl fmt::Display for GrantKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { vm, router, team } = self;
        write!(f, "{vm}{KEY_SEPARATOR}{router}{KEY_SEPARATOR}{team}")
    }
}

impl FromStr for GrantKey {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self, RecordError> {
        let parts: Vec<_> = text.split(KEY_SEPARATOR).collect();
        let key = match parts[..] {
            [vm, router, team] => vm
                .parse()
                .ok()
                .zip(router.parse().ok())
                .zip(team.parse().ok()),
            _ => None,
        };
        let ((vm, router), team) = key.ok_or_else(|| RecordError::Key(text.to_owned()))?;
        Ok(Self { vm, router, team })
    }
}

/// A grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GrantRow {
    /// The most that the incarnation may ever spend of the budget.
    pub(crate) granted: Tokens,
    /// What it had spent when the record was written; it may have spent more since, up to the grant.
    pub(crate) spent: Tokens,
    /// How fast it will spend the grant, if it commits itself to a pace.
    pub(crate) pace: Option<SpendPace>,
}

/// The encoding of an empty option.
const NONE_TAG: u8 = 0;

impl GrantRow {
    /// Returns how much of the grant may be in use at a moment.
    pub(crate) fn usable_at(&self, at: &ClockReading) -> Tokens {
        let usable = self.pace.and_then(|pace| pace.usable_at(at));
        usable.map_or(self.granted, |usable| usable.min(self.granted))
    }

    /// Encodes the grant as a record's value.
    ///
    /// # Panics
    ///
    /// Never: numbers can always be encoded.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("numbers can be encoded")
    }

    /// Decodes a grant from a record's value. Records of earlier versions lack the fields that were added at the end
    /// since.
    ///
    /// # Errors
    ///
    /// When the value is not a grant.
    pub(crate) fn decode(value: &[u8]) -> Result<Self, RecordError> {
        let padded = |_| postcard::from_bytes(&[value, &[NONE_TAG]].concat());
        let row = postcard::from_bytes(value).or_else(padded);
        row.map_err(|error: postcard::Error| RecordError::Value(error.to_string()))
    }
}
