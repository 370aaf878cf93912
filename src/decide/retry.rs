//! The retry budget.
//!
//! Answers an outage's end: each failed request is tried again, by routers and by callers, and the tries are more work
//! than the endpoints can do, so that they go on failing and being tried. Without it load grows by the number of tries
//! for each layer that retries, and the overload outlives its cause. Retries may only be a share of first tries.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;

/// The retries allowed for each first try. A tenth adds at most a tenth to an overload, and covers one endpoint in
/// twelve failing all that it gets, less what ejection saves.
const RETRY_RATIO: f64 = 0.1;

/// Retries allowed a second, whatever the traffic: a quiet router would have none otherwise.
const MIN_RETRIES_PER_S: f64 = 1.0;

/// The time over which requests are counted, and in which retries are bounded.
const WINDOW_S: f64 = 10.0;

/// How long unused retries may be kept, so that at most a quarter more are made in one window than it allows: a burst of
/// failures is covered, an outage is not. Kept for a whole window, they came on top of all that it allows itself.
const BURST_S: f64 = WINDOW_S / 4.0;

/// The wait before the first retry: longer than a lost connection takes to be noticed in a site (5 ms), far shorter
/// than the time to the first token.
const BASE_DELAY: Duration = Duration::from_millis(25);

/// The longest wait before a retry.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Retries as a share of recent requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    available: f64,
    request_rate: f64,
    updated: Instant,
    ratio: f64,
    min_rate: f64,
}

impl RetryBudget {
    /// Makes a budget that allows a few retries at first.
    pub fn new(now: Instant) -> Self {
        Self {
            available: MIN_RETRIES_PER_S * BURST_S,
            request_rate: 0.0,
            updated: now,
            ratio: RETRY_RATIO,
            min_rate: MIN_RETRIES_PER_S,
        }
    }

    /// Allows so many retries for each first try, and so many a second whatever the traffic, from now on: a router's part of
    /// what all of them may make together.
    pub fn set_limits(&mut self, ratio: f64, min_rate: f64) {
        self.ratio = ratio;
        self.min_rate = min_rate;
    }

    /// Counts a first try.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.request_rate += 1.0 / WINDOW_S;
        self.available = (self.available + self.ratio).min(self.capacity());
    }

    /// Returns whether a retry is left, without taking it.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        self.available >= 1.0
    }

    /// Takes one retry out of the budget and tells whether there was one.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    /// Returns how long to wait before a retry, the first being number 1: anywhere up to a bound that doubles. Full
    /// jitter, because the requests of one dead endpoint fail together and would all arrive together at the next.
    pub fn backoff<R>(&self, retry: u32, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let bound = BASE_DELAY
            .saturating_mul(1 << retry.clamp(1, 16).saturating_sub(1))
            .min(MAX_DELAY);
        bound.mul_f64(rng.random_range(0.0..1.0))
    }

    fn capacity(&self) -> f64 {
        ((self.min_rate + self.request_rate * self.ratio) * BURST_S).max(1.0)
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.request_rate *= (-passed / WINDOW_S).exp();
        self.available = (self.available + passed * self.min_rate).min(self.capacity());
    }
}
