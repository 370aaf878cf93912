//! Identifiers, each a type of its own.

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

/// Tells why a text is no identifier.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum NameError {
    /// Nothing was given.
    #[error("it is empty")]
    Empty,
    /// More than 128 bytes were given.
    #[error("it has {0} bytes, and at most {MAX_NAME} are allowed")]
    Long(usize),
    /// A character stands in it that is not allowed.
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

/// Reads a name out of the text where it stands: a record of the ledger has up to three of them, and a copy of each in
/// between would be most of what decoding it costs.
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
    /// Names a VM, as the VM list spells it.
    VmId
);
name!(
    /// Names a failure domain.
    DomainId
);
name!(
    /// Names a client account.
    AccountId
);
name!(
    /// Names a team, which holds a budget.
    TeamId
);
name!(
    /// Names a model.
    ModelId
);
name!(
    /// Names a pool: the endpoints that one selector picks.
    PoolId
);
name!(
    /// Names a configuration document among those of its kind.
    DocName
);
name!(
    /// Names a top-up; a second one of the same name adds nothing.
    TopUpId
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
    /// One life of a router process: a random number that it drew at its start.
    Incarnation
);
number!(
    /// A record's place in a stream of the log service.
    Offset
);
number!(
    /// The number of an incarnation's batch in one stream, counted from 1.
    Sequence
);
number!(
    /// A configuration document's version: the offset after the record that made it, or 0 where there is none.
    Version
);
number!(
    /// The version of a configuration that a platform hands over whole; versions only grow.
    TableVersion
);
number!(
    /// A fingerprint of a request's method, path and body.
    Fingerprint
);
number!(
    /// Counts a caller's tries of one request from 1; 0 means that the caller did not say.
    Attempt
);
number!(
    /// Names a request within one router, in its logs.
    RequestId
);

/// Tells one request from all others: the client account and the key that it chose.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// Whose request it is; two accounts may choose the same key.
    pub account: AccountId,
    /// The key.
    pub key: IdempotencyKey,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.account, self.key)
    }
}
