//! A value that an endpoint announces in its answers, as routers hear it from the endpoint and from each other.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// What the head of an answer says about a value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnnouncedValue<T> {
    /// Nothing, which lifts an earlier value.
    #[default]
    None,
    /// Something that cannot be read; an earlier value stays.
    Unreadable,
    /// The value.
    Value(T),
}

/// A value that a router has heard of, as it tells the other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardRow<T> {
    /// How long ago any router last heard it from the endpoint itself.
    pub age: Duration,
    /// The value; `None` if it was lifted.
    pub value: Option<T>,
}

impl<T> HeardRow<T> {
    /// Adjusts a row that is told some time after it was made.
    pub(super) fn grow_older(&mut self, passed: Duration) {
        self.age = self.age.saturating_add(passed);
    }
}

/// A value that was heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Heard<T> {
    /// The value; `None` if it was lifted.
    pub(super) value: Option<T>,
    /// When any router last heard it from the endpoint itself.
    pub(super) at: Instant,
}

impl<T> AnnouncedValue<T>
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
            Self::None if lifts => None,
            Self::None | Self::Unreadable => return None,
        };
        Some(Heard { value, at: now })
    }
}

impl<T> Heard<T>
where
    T: Copy,
{
    /// Returns what is new in what another router tells.
    pub(super) fn from_peer(known: Option<Self>, now: Instant, row: HeardRow<T>) -> Option<Self> {
        let HeardRow { age, value } = row;
        let at = now.checked_sub(age)?;
        let newer = known.map_or(value.is_some(), |known| at > known.at);
        newer.then_some(Self { value, at })
    }

    /// Returns what other routers are told.
    pub(super) fn row(self, now: Instant) -> HeardRow<T> {
        HeardRow {
            age: now.saturating_duration_since(self.at),
            value: self.value,
        }
    }
}
