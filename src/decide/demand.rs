//! Decaying average of token demand.

use std::time::Duration;
use std::time::Instant;

use crate::tokens::Tokens;

/// Minimum age assumed for a demand: a single request says nothing about the rate.
const MIN_AGE: Duration = Duration::from_secs(1);

/// Returns the fraction, up to 1, of a rate that is reflected by an average over `window` that started from zero at
/// `first`.
///
/// After a second of a window of ten it is a tenth: without this correction, demand that just began would be taken for
/// almost none.
pub(crate) fn observed_fraction(now: Instant, first: Instant, window: Duration) -> f64 {
    let age = now.saturating_duration_since(first).max(MIN_AGE);
    1.0 - (-age.as_secs_f64() / window.as_secs_f64()).exp()
}

/// Exponentially decaying average of a rate over about `window`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    window: Duration,
    rate: f64,
    updated: Instant,
}

impl Demand {
    /// Creates an average that starts from zero.
    pub(crate) fn new(now: Instant, window: Duration) -> Self {
        Self {
            window,
            rate: 0.0,
            updated: now,
        }
    }

    /// Records a requested amount.
    pub(crate) fn add(&mut self, now: Instant, amount: Tokens) {
        self.rate = self.rate(now) + amount.0 as f64 / self.window.as_secs_f64();
        self.updated = now;
    }

    /// Returns the rate, in tokens per second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.updated);
        self.rate * (-since.as_secs_f64() / self.window.as_secs_f64()).exp()
    }
}
