//! The limit of a client account.
//!
//! Answers a client account that sends far more than was agreed: a loop without a pause, a batch job at noon. Without it
//! such an account fills the queue and the engines before fairness can tell it from the others, and each of its requests
//! costs a router the work of reading it. A token bucket bounds its rate and a count bounds what it has in progress.

use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

use crate::config::Limits;

/// The longest wait that a refusal asks for. Callers that are told more give up or ignore it.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// The wait that a refusal for too many requests in progress asks for: about the length of a short answer.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Tells why a client account may not enter.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// It sends faster than its rate.
    #[error("the client account is over its rate")]
    Rate {
        /// When to come back.
        retry_after: Duration,
    },
    /// It has as many requests in progress as it may.
    #[error("the client account has too many requests in progress")]
    Concurrency {
        /// When to come back.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Returns when to come back.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Rate { retry_after } | Self::Concurrency { retry_after } => *retry_after,
        }
    }
}

/// One client account's limit at one router.
#[derive(Clone, Debug)]
pub struct AccountLimit {
    limits: Limits,
    tokens: f64,
    /// Places in the future that refused requests were sent to, so that they don't all come back for the same one.
    deferred: f64,
    active: u32,
    updated: Instant,
}

impl AccountLimit {
    /// Makes the limit of an account that has not called yet.
    pub fn new(now: Instant, limits: &Limits) -> Self {
        Self {
            limits: limits.clone(),
            tokens: f64::from(limits.burst),
            deferred: 0.0,
            active: 0,
            updated: now,
        }
    }

    /// Takes over changed limits; what is in progress stays.
    pub fn set_limits(&mut self, now: Instant, limits: &Limits) {
        self.refill(now);
        self.tokens = self.tokens.min(f64::from(limits.burst));
        self.limits = limits.clone();
    }

    /// Returns how many requests are in progress.
    pub fn active(&self) -> u32 {
        self.active
    }

    /// Lets one request in, which [`leave`](Self::leave) ends.
    ///
    /// # Errors
    ///
    /// The refusal, when the account is over a limit. Its wait grows with each refusal in a row, by the time that the
    /// rate needs for one more.
    pub fn try_acquire(&mut self, now: Instant) -> Result<(), Refusal> {
        self.refill(now);
        if self.active >= self.limits.concurrency {
            let retry_after = self.defer().max(BUSY_RETRY);
            return Err(Refusal::Concurrency { retry_after });
        }
        if self.tokens < 1.0 {
            let retry_after = self.defer();
            return Err(Refusal::Rate { retry_after });
        }
        self.tokens -= 1.0;
        self.active += 1;
        Ok(())
    }

    /// Ends one request.
    pub fn release(&mut self) {
        self.active = self.active.saturating_sub(1);
    }

    fn rate(&self) -> f64 {
        f64::from(self.limits.rate.max(1))
    }

    fn refill(&mut self, now: Instant) {
        let gained = now.saturating_duration_since(self.updated).as_secs_f64() * self.rate();
        self.tokens = (self.tokens + gained).min(f64::from(self.limits.burst.max(1)));
        self.deferred = (self.deferred - gained).max(0.0);
        self.updated = self.updated.max(now);
    }

    fn defer(&mut self) -> Duration {
        let limit = MAX_RETRY.as_secs_f64() * self.rate();
        self.deferred = (self.deferred + 1.0).min(limit);
        let deficit = (self.deferred - self.tokens).max(0.0);
        Duration::from_secs_f64(deficit / self.rate()).min(MAX_RETRY)
    }
}
