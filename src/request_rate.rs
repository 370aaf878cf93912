//! Request rates.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A rate in requests per second, finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// Why a number or a text is not a request rate.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RateError {
    /// The text is not a decimal number.
    #[error("it is not a number")]
    Malformed,
    /// The number is negative, infinite or NaN.
    #[error("it is negative or not finite")]
    Range,
}

impl RequestRate {
    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(rate: f64) -> Result<Self, RateError> {
        match rate.is_finite() && rate >= 0.0 {
            true => Ok(Self(rate)),
            false => Err(RateError::Range),
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let rate: f64 = text.parse().map_err(|_| RateError::Malformed)?;
        Self::try_from(rate)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
