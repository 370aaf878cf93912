//! The retry budget.
//!
//! Handles the end of an outage: routers and callers retry each failed request, and the retries are more work than the
//! endpoints can do, so that requests go on failing and being retried. Without a budget the load is multiplied by the
//! number of attempts at each layer that retries, and the overload outlasts its cause. The budget limits retries to a
//! share of first attempts.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;

/// The retries allowed for each first attempt. A tenth adds at most a tenth to an overload. It covers one endpoint in
/// twelve that fails all its requests, less those that ejection saves.
const RETRY_RATIO: f64 = 0.1;

/// The retries allowed each second regardless of traffic; a router with little traffic would have none otherwise.
const MIN_RETRIES_PER_S: f64 = 1.0;

/// The window, in seconds, over which the request rate is averaged and in which retries are limited.
const WINDOW_S: f64 = 10.0;

/// How many seconds' worth of unused retries are kept. A quarter of the window adds at most a quarter to the retries
/// allowed in one window: it covers a burst of failures, but not an outage. A whole window's worth would be
/// spent on top of the retries that the window itself allows.
const BURST_S: f64 = WINDOW_S / 4.0;

/// The upper bound of the delay before the first retry: longer than it takes to notice a lost connection within a site
/// (5 ms), and far shorter than the time to the first token.
const BASE_DELAY: Duration = Duration::from_millis(25);

/// The longest delay before a retry.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Limits retries to a share of recent requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    available: f64,
    request_rate: f64,
    updated: Instant,
    ratio: f64,
    min_rate: f64,
}

impl RetryBudget {
    /// Creates a budget that allows a few retries at first.
    pub fn new(now: Instant) -> Self {
        Self {
            available: MIN_RETRIES_PER_S * BURST_S,
            request_rate: 0.0,
            updated: now,
            ratio: RETRY_RATIO,
            min_rate: MIN_RETRIES_PER_S,
        }
    }

    /// Sets the retries allowed for each first attempt, and each second regardless of traffic. These are one router's
    /// part of the limits for all routers together.
    pub fn set_limits(&mut self, ratio: f64, min_rate: f64) {
        self.ratio = ratio;
        self.min_rate = min_rate;
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.request_rate += 1.0 / WINDOW_S;
        self.available = (self.available + self.ratio).min(self.capacity());
    }

    /// Returns whether a retry is available, without taking it.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        self.available >= 1.0
    }

    /// Takes one retry from the budget, or returns false if none is available.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    /// Returns the delay before a retry, counted from 1: random, up to a bound that doubles with each retry. The jitter
    /// covers the full range, because the requests of a dead endpoint fail together and would all reach the next
    /// endpoint together.
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
