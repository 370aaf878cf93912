//! A value that an endpoint announces in its answers, as routers hear it from the endpoint and from each other.

use std::time::Duration;
use std::time::Instant;

/// What the head of an answer says about a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Said<T> {
    /// Nothing, which lifts an earlier value.
    Nothing,
    /// Something that cannot be read; an earlier value stays.
    Unreadable,
    /// The value.
    Value(T),
}

/// A value that was heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Heard<T> {
    /// The value; `None` if it was lifted.
    pub(super) value: Option<T>,
    /// When any router last heard it from the endpoint itself.
    pub(super) at: Instant,
}

impl<T> Said<T>
where
    T: Copy,
{
    /// Returns what is new in the answer to a request that was sent at `sent`.
    ///
    /// Answers overtake each other, so that one without a value lifts it only if its request was sent after the value had
    /// been heard.
    pub(super) fn heard(
        self,
        known: Option<Heard<T>>,
        now: Instant,
        sent: Instant,
    ) -> Option<Heard<T>> {
        let lifts = known.is_some_and(|known| known.value.is_some() && sent >= known.at);
        let value = match self {
            Self::Value(value) => Some(value),
            Self::Nothing if lifts => None,
            Self::Nothing | Self::Unreadable => return None,
        };
        Some(Heard { value, at: now })
    }
}

impl<T> Heard<T>
where
    T: Copy,
{
    /// Returns what is new in the word of another router that heard a value some time ago.
    pub(super) fn from_peer(
        known: Option<Self>,
        now: Instant,
        age: Duration,
        value: Option<T>,
    ) -> Option<Self> {
        let at = now.checked_sub(age)?;
        let newer = known.map_or(value.is_some(), |known| at > known.at);
        newer.then_some(Self { value, at })
    }
}
