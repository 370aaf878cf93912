//! How fast a queue drains.

use std::time::Instant;

use crate::tokens::Tokens;

/// The time over which the drain rate is averaged: several answers, so that one long one does not swing it.
const WINDOW_SECS: f64 = 5.0;

/// The time that must have been measured before the rate is believed.
const MIN_MEASURED_SECS: f64 = 0.25;

/// Measures how fast the queue drains while something waits in it.
#[derive(Debug, Default)]
pub(super) struct DrainRate {
    cost: f64,
    time: f64,
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
        self.cost += cost.0.max(1) as f64;
        if empty {
            self.since = None;
        }
    }

    fn advance(&mut self, now: Instant) {
        let Some(since) = self.since else { return };
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let decay = (-elapsed / WINDOW_SECS).exp();
        self.cost *= decay;
        self.time = self.time * decay + elapsed;
        self.since = Some(now);
    }

    /// Returns the cost served a second. The time since the last one counts, so that a stall shows.
    pub(super) fn rate(&self, now: Instant) -> Option<f64> {
        let idle = self
            .since
            .map_or(0.0, |s| now.saturating_duration_since(s).as_secs_f64());
        let time = self.time + idle;
        (self.cost > 0.0 && time > MIN_MEASURED_SECS).then(|| self.cost / time)
    }
}
