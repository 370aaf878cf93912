//! The rate and concurrency limit of a client account.
//!
//! Handles a client account that sends far more than was agreed, such as a loop without a pause or a batch job at noon.
//! Without the limit such an account fills the queue and the engines before fair queueing can tell it from others, and
//! each of its requests costs the router the work of reading it. A token bucket limits its rate, and a counter limits
//! its requests in progress.

use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

use crate::config::Limits;

/// The longest wait that a refusal asks for. Callers that are told to wait longer give up or ignore it.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// The wait that a refusal for too many requests in progress asks for: about as long as a short answer takes.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Why a client account's request is refused.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// The account exceeds its rate.
    #[error("the client account is over its rate")]
    Rate {
        /// How long to wait before the next attempt.
        retry_after: Duration,
    },
    /// The account has the maximum number of requests in progress.
    #[error("the client account has too many requests in progress")]
    Concurrency {
        /// How long to wait before the next attempt.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Returns how long to wait before the next attempt.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Rate { retry_after } | Self::Concurrency { retry_after } => *retry_after,
        }
    }
}

/// The limit of one client account at one router.
#[derive(Clone, Debug)]
pub struct AccountLimit {
    limits: Limits,
    tokens: f64,
    /// Future tokens that refused requests were told to return for, so that they do not all return for the same one.
    deferred: f64,
    active: u32,
    updated: Instant,
}

impl AccountLimit {
    /// Creates the limit of an account that has not sent a request yet.
    pub fn new(now: Instant, limits: &Limits) -> Self {
        Self {
            limits: limits.clone(),
            tokens: f64::from(limits.burst),
            deferred: 0.0,
            active: 0,
            updated: now,
        }
    }

    /// Applies changed limits; requests in progress are not affected.
    pub fn set_limits(&mut self, now: Instant, limits: &Limits) {
        self.refill(now);
        self.tokens = self.tokens.min(f64::from(limits.burst));
        self.limits = limits.clone();
    }

    /// Returns the number of requests in progress.
    pub fn active(&self) -> u32 {
        self.active
    }

    /// Admits one request, which must be ended by [`release`](Self::release).
    ///
    /// # Errors
    ///
    /// Returns a refusal if the account is over a limit. Each further refusal in a row asks for a longer wait, by the
    /// time that the rate takes to allow one more request.
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
