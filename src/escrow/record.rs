//! The records of grants.

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

/// Separates the parts of a key; names have no control characters.
const KEY_SEPARATOR: char = '\t';

/// Tells why a record is none of a grant.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(crate) enum RecordError {
    /// Its key has not three parts that are names.
    #[error("the key {0:?} is not a VM, a lifetime and a team")]
    Key(String),
    /// Its value can't be decoded.
    #[error("the value can't be decoded: {0}")]
    Value(String),
}

/// Whose grant it is and of which budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GrantKey {
    /// The router's VM.
    pub(crate) vm: VmId,
    /// The lifetime of its process.
    pub(crate) router: Incarnation,
    /// The budget's team.
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
    /// The most that the lifetime may ever spend of the budget.
    pub(crate) granted: Tokens,
    /// What it had spent when it wrote this; it may have spent more since, up to the grant.
    pub(crate) spent: Tokens,
    /// How fast it will spend the grant, if it promises anything.
    pub(crate) pace: Option<SpendPace>,
}

/// The code of an option that holds nothing.
const NONE_TAG: u8 = 0;

impl GrantRow {
    /// Returns how much of it may be in use at a moment.
    pub(crate) fn usable_at(&self, at: &ClockReading) -> Tokens {
        let usable = self.pace.and_then(|pace| pace.usable_at(at));
        usable.map_or(self.granted, |usable| usable.min(self.granted))
    }

    /// Returns it as a record's value.
    ///
    /// # Panics
    ///
    /// Never: numbers can always be encoded.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("numbers can be encoded")
    }

    /// Reads it from a record's value. Those of earlier versions lack what has been added at the end since.
    ///
    /// # Errors
    ///
    /// When the value is no grant.
    pub(crate) fn decode(value: &[u8]) -> Result<Self, RecordError> {
        let padded = |_| postcard::from_bytes(&[value, &[NONE_TAG]].concat());
        let row = postcard::from_bytes(value).or_else(padded);
        row.map_err(|error: postcard::Error| RecordError::Value(error.to_string()))
    }
}
