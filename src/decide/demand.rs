//! How fast a team's budget is asked for.

use std::time::Duration;
use std::time::Instant;

use crate::tokens::Tokens;

/// The age that a demand is thought to have at least: of one request, nothing can be said of the rate.
const MIN_AGE: Duration = Duration::from_secs(1);

/// Returns which part of a rate, up to 1, an average over a window has seen that began with nothing at a time.
///
/// After a second of ten it is a tenth: taken at its word, the average would have a demand that just began for next to none.
pub(crate) fn observed_fraction(now: Instant, first: Instant, window: Duration) -> f64 {
    let age = now.saturating_duration_since(first).max(MIN_AGE);
    1.0 - (-age.as_secs_f64() / window.as_secs_f64()).exp()
}

/// A rate that forgets: an average over about `window`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    window: Duration,
    rate: f64,
    updated: Instant,
}

impl Demand {
    /// Begins with nothing.
    pub(crate) fn new(now: Instant, window: Duration) -> Self {
        Self {
            window,
            rate: 0.0,
            updated: now,
        }
    }

    /// Counts an amount that was asked for.
    pub(crate) fn add(&mut self, now: Instant, amount: Tokens) {
        self.rate = self.rate(now) + amount.0 as f64 / self.window.as_secs_f64();
        self.updated = now;
    }

    /// Returns the rate, in tokens a second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.updated);
        self.rate * (-since.as_secs_f64() / self.window.as_secs_f64()).exp()
    }
}
