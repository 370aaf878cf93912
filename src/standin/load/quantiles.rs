//! Times, as a report gives them.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest time that is told apart, in microseconds: ten minutes.
const LONGEST: u64 = 600_000_000;

/// Quantiles in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Quantiles {
    /// How many times there are.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// Nineteen of twenty are no longer.
    pub p95: f64,
    /// Ninety-nine of a hundred are no longer.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

/// Gathers times.
#[derive(Clone, Debug)]
pub(crate) struct Times(Histogram<u64>);

impl Times {
    /// Starts without any.
    ///
    /// # Panics
    ///
    /// Never: the bounds are good ones.
    pub(crate) fn new() -> Self {
        Self(Histogram::new_with_bounds(1, LONGEST, 3).expect("the bounds are good"))
    }

    /// Adds a time.
    pub(crate) fn add(&mut self, time: Duration) {
        self.add_micros(u64::try_from(time.as_micros()).unwrap_or(LONGEST));
    }

    /// Adds a time in microseconds.
    pub(crate) fn add_micros(&mut self, micros: u64) {
        self.0.saturating_record(micros.max(1));
    }

    /// Returns the quantiles.
    pub(crate) fn quantiles(&self) -> Quantiles {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / 1000.0;
        if self.0.is_empty() {
            return Quantiles::default();
        }
        Quantiles {
            count: self.0.len(),
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
            max: self.0.max() as f64 / 1000.0,
        }
    }
}
