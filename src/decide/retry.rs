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
const SHARE: f64 = 0.1;

/// Retries allowed a second, whatever the traffic: a quiet router would have none otherwise.
const FLOOR: f64 = 1.0;

/// The time over which requests are counted, and in which retries are bounded.
const WINDOW: f64 = 10.0;

/// How long unused retries may be kept, so that at most a quarter more are made in one window than it allows: a burst of
/// failures is covered, an outage is not. Kept for a whole window, they came on top of all that it allows itself.
const KEPT: f64 = WINDOW / 4.0;

/// The wait before the first retry: longer than a lost connection takes to be noticed in a site (5 ms), far shorter
/// than the time to the first token.
const BASE: Duration = Duration::from_millis(25);

/// The longest wait before a retry.
const LONGEST: Duration = Duration::from_secs(2);

/// Retries as a share of recent requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    left: f64,
    rate: f64,
    at: Instant,
    share: f64,
    floor: f64,
}

impl RetryBudget {
    /// Makes a budget that allows a few retries at first.
    pub fn new(now: Instant) -> Self {
        Self {
            left: FLOOR * KEPT,
            rate: 0.0,
            at: now,
            share: SHARE,
            floor: FLOOR,
        }
    }

    /// Allows so many retries for each first try, and so many a second whatever the traffic, from now on: a router's part of
    /// what all of them may make together.
    pub fn allow(&mut self, share: f64, floor: f64) {
        self.share = share;
        self.floor = floor;
    }

    /// Counts a first try.
    pub fn request(&mut self, now: Instant) {
        self.pass(now);
        self.rate += 1.0 / WINDOW;
        self.left = (self.left + self.share).min(self.most());
    }

    /// Returns whether a retry is left, without taking it.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        self.pass(now);
        self.left >= 1.0
    }

    /// Takes one retry out of the budget and tells whether there was one.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.pass(now);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// Returns how long to wait before a retry, the first being number 1: anywhere up to a bound that doubles. Full
    /// jitter, because the requests of one dead endpoint fail together and would all arrive together at the next.
    pub fn backoff<R>(&self, retry: u32, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let bound = BASE
            .saturating_mul(1 << retry.clamp(1, 16).saturating_sub(1))
            .min(LONGEST);
        bound.mul_f64(rng.random_range(0.0..1.0))
    }

    fn most(&self) -> f64 {
        ((self.floor + self.rate * self.share) * KEPT).max(1.0)
    }

    fn pass(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.rate *= (-passed / WINDOW).exp();
        self.left = (self.left + passed * self.floor).min(self.most());
    }
}
