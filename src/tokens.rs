//! Amounts of tokens.

use std::fmt;
use std::iter::Sum;
use std::num::ParseIntError;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::ops::SubAssign;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// An amount of tokens, the unit of budgets, reservations and bills.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Returns the difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum, or the largest amount if it overflows.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Add for Tokens {
    type Output = Self;

    /// Adds two amounts.
    ///
    /// # Panics
    ///
    /// When the sum overflows. A ledger that wrapped around would give away a budget.
    fn add(self, other: Self) -> Self {
        Self(self.0.checked_add(other.0).expect("a sum of tokens fits"))
    }
}

impl Sub for Tokens {
    type Output = Self;

    /// Subtracts one amount from another.
    ///
    /// # Panics
    ///
    /// When `other` is larger. A ledger that wrapped around would give away a budget.
    fn sub(self, other: Self) -> Self {
        Self(self.0.checked_sub(other.0).expect("an amount is covered"))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Tokens {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl Sum for Tokens {
    fn sum<I>(amounts: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        amounts.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Tokens {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// A rate in tokens per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TokenRate(pub u64);

impl TokenRate {
    /// Returns the amount used in a period, rounded up, or the largest amount if it overflows.
    pub fn over(self, time: Duration) -> Tokens {
        let tokens = (u128::from(self.0) * time.as_nanos()).div_ceil(1_000_000_000);
        Tokens(u64::try_from(tokens).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TokenRate {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
