//! Drain rate of a queue.

use std::time::Instant;

use crate::tokens::Tokens;

/// Window over which the drain rate is averaged: several answers, so that a single long one does not distort it.
const WINDOW_SECS: f64 = 5.0;

/// Minimum measured time before the rate is reported.
const MIN_MEASURED_SECS: f64 = 0.25;

/// Measures how fast the queue drains while requests wait in it.
#[derive(Debug, Default)]
pub(super) struct DrainRate {
    served_cost: f64,
    measured_secs: f64,
    since: Option<Instant>,
}

impl DrainRate {
    pub(super) fn start(&mut self, now: Instant) {
        self.since = Some(now);
    }

    pub(super) fn stop(&mut self, now: Instant) {
        self.advance(now);
        self.since = None;
    }

    pub(super) fn record(&mut self, now: Instant, cost: Tokens, empty: bool) {
        self.advance(now);
        self.served_cost += cost.0.max(1) as f64;
        if empty {
            self.since = None;
        }
    }

    fn advance(&mut self, now: Instant) {
        let Some(since) = self.since else { return };
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let decay = (-elapsed / WINDOW_SECS).exp();
        self.served_cost *= decay;
        self.measured_secs = self.measured_secs * decay + elapsed;
        self.since = Some(now);
    }

    /// Returns the cost served per second. The time since the last request counts, so that a stall lowers the rate.
    pub(super) fn rate(&self, now: Instant) -> Option<f64> {
        let idle = self
            .since
            .map_or(0.0, |s| now.saturating_duration_since(s).as_secs_f64());
        let secs = self.measured_secs + idle;
        (self.served_cost > 0.0 && secs > MIN_MEASURED_SECS).then(|| self.served_cost / secs)
    }
}
