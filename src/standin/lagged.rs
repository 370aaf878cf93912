//! A value that is shown as it was a while ago.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Keeps a value's past, as far back as its lag.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag: Duration,
    past: VecDeque<(Instant, T)>,
}

impl<T> Lagged<T> {
    /// Starts with a value that has been there for ever.
    pub(crate) fn new(lag: Duration, now: Instant, first: T) -> Self {
        Self {
            lag,
            past: VecDeque::from([(now, first)]),
        }
    }

    /// Returns how far back it shows.
    pub(crate) fn lag(&self) -> Duration {
        self.lag
    }

    /// Sets the value from `now` on.
    pub(crate) fn set(&mut self, now: Instant, value: T) {
        self.past.push_back((now, value));
        self.forget(now);
    }

    /// Returns the value as it was a lag before `now`.
    pub(crate) fn seen(&mut self, now: Instant) -> &T {
        self.forget(now);
        &self.past[0].1
    }

    /// Returns the value as it is.
    pub(crate) fn latest(&self) -> &T {
        &self.past[self.past.len() - 1].1
    }

    /// Lets go what is older than what a lag ago was in force.
    fn forget(&mut self, now: Instant) {
        while self.past.len() > 1 && now.duration_since(self.past[1].0) >= self.lag {
            self.past.pop_front();
        }
    }
}
