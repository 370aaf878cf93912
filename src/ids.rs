//! Identifiers, each with its own type.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use serde::de::Visitor;
use thiserror::Error;

/// The longest name that an identifier may have, in bytes.
pub(crate) const MAX_NAME: usize = 128;

/// Why a text is not an identifier.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    #[error("it is empty")]
    Empty,
    /// The text is longer than 128 bytes.
    #[error("it has {0} bytes, and at most {MAX_NAME} are allowed")]
    Long(usize),
    /// The text contains a character that is not allowed.
    #[error("it has the character {0:?}, and only printable ASCII without spaces is allowed")]
    Character(char),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME {
        return Err(NameError::Long(text.len()));
    }
    if text.bytes().all(|b| b.is_ascii_graphic()) {
        return Ok(());
    }
    match text.chars().find(|c| !c.is_ascii_graphic()) {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

/// Deserializes a name without an intermediate copy. A ledger record has up to three names, and copies would take most of
/// the time that decoding it needs.
struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = Arc<str>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string that is a name")
    }

    fn visit_str<E>(self, text: &str) -> Result<Arc<str>, E>
    where
        E: de::Error,
    {
        check_name(text).map_err(E::custom)?;
        Ok(text.into())
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl Serialize for $name {
            fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: Serializer,
            {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: Deserializer<'de>,
            {
                deserializer.deserialize_str(NameVisitor).map(Self)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// The name of a VM in the VM list.
    VmId
);
name!(
    /// The name of a failure domain.
    DomainId
);
name!(
    /// The name of a client account.
    AccountId
);
name!(
    /// The name of a team, which holds a budget.
    TeamId
);
name!(
    /// The name of a model.
    ModelId
);
name!(
    /// The name of a pool: the endpoints that match one selector.
    PoolId
);
name!(
    /// The name of a configuration document, unique within its kind.
    DocName
);
name!(
    /// The name of a top-up. A second top-up with the same name has no effect.
    TopUpId
);
name!(
    /// The version of the software that an endpoint runs. Versions have no order.
    SoftwareVersion
);
name!(
    /// The caller's name for one attempt at a request.
    AttemptId
);
name!(
    /// The caller's `Idempotency-Key`.
    IdempotencyKey
);

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number!(
    /// One life of a router process: a random number chosen at its start.
    Incarnation
);
number!(
    /// The offset of a record in a stream of the log service.
    Offset
);
number!(
    /// The number of an incarnation's batch in one stream, counted from 1.
    Sequence
);
number!(
    /// The version of a configuration document: the offset after the record that created it, or 0 if there is none.
    Version
);
number!(
    /// The version of a configuration that a platform delivers as a whole. Versions only increase.
    TableVersion
);
number!(
    /// A fingerprint of a request's method, path and body.
    Fingerprint
);
number!(
    /// The number of a caller's attempt at one request, counted from 1. 0 means that the caller sent none.
    Attempt
);
number!(
    /// The number of a request within one router, used in its logs.
    RequestId
);

/// Identifies a request: the client account and the key that it chose.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The client account. Two accounts may choose the same key.
    pub account: AccountId,
    /// The key, unique within the account.
    pub key: IdempotencyKey,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.account, self.key)
    }
}
