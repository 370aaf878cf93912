//! The retry budget.
//!
//! Handles the end of an outage: routers and callers retry each failed request, and the retries are more work than the
//! endpoints can do, so that requests go on failing and being retried. Without a budget the load is multiplied by the
//! number of attempts at each layer that retries, and the overload outlasts its cause. The budget limits retries to a
//! share of first attempts.
//!
//! The limit is the pool's, over all routers and in every window. Each router keeps to its part: a share of the requests
//! that it received itself, and of the retries that are allowed regardless of requests those that [`retry_share`] gives
//! it. No part is available at a router's start, so that restarts add nothing, and what the router's former life may have
//! left unread at endpoints is counted by its next life (see [`crate::decide::former_lives`]).
//!
//! Requests and retries are counted when the router reads and sends them, but the limit is for what callers send and
//! endpoints receive. A paused router reads requests long after they were sent, and a link that stalls delivers retries
//! long after they were sent. Each retry is therefore counted until it is known to have arrived, and each request from
//! the time on at which it may have been sent.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;
use serde::Serialize;

use crate::decide::former_lives::LifeNumber;
use crate::decide::rendezvous::is_selected;
use crate::decide::retry_window::Charge;
use crate::decide::retry_window::RetryWindow;
use crate::ids::PoolId;
use crate::ids::VmId;

/// The retries allowed for each first attempt. A tenth adds at most a tenth to an overload. It covers one endpoint in
/// twelve that fails all its requests, less those that ejection saves.
const RETRY_RATIO: f64 = 0.1;

/// The retries allowed in a window regardless of traffic; a router with little traffic would have none otherwise.
const SPARE_RETRIES: f64 = 10.0;

/// The period in which retries are limited.
const WINDOW: Duration = Duration::from_secs(10);

/// The share of the spare retries that may be sent at once. A quarter covers a burst of failures, but not an outage.
const BURST_SHARE: f64 = 0.25;

/// The delay between callers and a router that is accounted for, as a share of the window. Connections are opened within
/// half a second, a twentieth of the usual window.
const DELAY_SHARE: f64 = 0.05;

/// The time, as a share of the window, in which a router can have left all of its spare retries unread. Requests pay for
/// those of nearly half a window.
const INHERITED_SHARE: f64 = 0.45;

/// The fewest spare retries of a router that has any, so that it may send one at any time and another one in each window.
const MIN_SPARE: f64 = 2.0;

/// The upper bound of the delay before the first retry: longer than it takes to notice a lost connection within a site
/// (5 ms), and far shorter than the time to the first token.
const BASE_DELAY: Duration = Duration::from_millis(25);

/// The longest delay before a retry.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// A limit on the retries at a pool: that of all routers, or one router's part of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// The retries allowed for each request.
    pub ratio: f64,
    /// The retries allowed in a window regardless of requests.
    pub spare: f64,
    /// The length of the windows in each of which the limit holds.
    pub window: Duration,
    /// How long a request may be on its way to the router's VM. The limit holds for what callers send and endpoints
    /// receive; zero if it is only to hold for what reaches the router's VM.
    pub delay: Duration,
}

impl RetryLimit {
    /// Creates a limit that holds for the requests that callers send and the retries that endpoints receive.
    pub fn between_callers_and_endpoints(ratio: f64, spare: f64, window: Duration) -> Self {
        Self {
            ratio,
            spare,
            window,
            delay: window.mul_f64(DELAY_SHARE),
        }
    }
}

impl Default for RetryLimit {
    fn default() -> Self {
        Self {
            ratio: RETRY_RATIO,
            spare: SPARE_RETRIES,
            window: WINDOW,
            delay: Duration::ZERO,
        }
    }
}

/// What one router's budget for a pool has counted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RetryUsage {
    /// Requests of the last one and a half windows.
    pub requests: u64,
    /// Retries of that time that requests paid for.
    pub retries: f64,
    /// Spare retries that may be sent now.
    pub spare: f64,
    /// Retries that may still arrive at their endpoints.
    pub pending: u32,
    /// Retries that former lives may have left, and that may still arrive.
    pub inherited: f64,
    /// Whether a retry is available.
    pub available: bool,
}

/// A retry that was taken from a budget and may still arrive at its endpoint.
///
/// It counts in every window until it is returned by [`RetryBudget::settle`].
#[derive(Debug)]
#[must_use = "it counts until it is settled"]
pub struct PendingRetry {
    charge: Charge,
    /// Whether nothing paid for it any more when that was last checked.
    uncovered: bool,
}

/// Returns a router's part of the retries that all routers may send to a pool regardless of requests.
///
/// The parts of the listed routers add up to `spare`. A router that is not listed has none.
pub fn retry_share(spare: f64, routers: &[VmId], router: &VmId, pool: &PoolId) -> f64 {
    if !routers.contains(router) {
        return 0.0;
    }
    let sharing = (spare / MIN_SPARE).floor().max(1.0) as usize;
    let sharing = sharing.min(routers.len());
    match is_selected(sharing, routers, router, pool.as_str(), 0) {
        true => spare / sharing as f64,
        false => 0.0,
    }
}

/// Limits one router's retries at one pool.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    window: RetryWindow,
    /// Spare retries that may be sent now.
    spare: f64,
    updated: Instant,
    /// What former lives may have left.
    inherited: Vec<InheritedRetries>,
}

/// The retries that a former life may have left unread at endpoints. As many are assumed as this router could have left in
/// the time since, which is at most what a router may have pending.
#[derive(Clone, Debug)]
struct InheritedRetries {
    life: LifeNumber,
    /// The part of this router's retries.
    share: f64,
    since: Instant,
    /// The requests that had been counted by then.
    requests: u64,
    charge: Charge,
}

impl RetryBudget {
    /// Creates the budget of a router that starts, without a retry.
    pub fn new(now: Instant, limit: RetryLimit) -> Self {
        Self {
            limit,
            window: RetryWindow::new(now, limit.window, limit.delay),
            spare: 0.0,
            updated: now,
            inherited: Vec::new(),
        }
    }

    /// Counts what a former life may have left, which is a part of this router's retries.
    pub fn inherit(&mut self, now: Instant, life: LifeNumber, share: f64) {
        self.inherited.push(InheritedRetries {
            life,
            share,
            since: now,
            requests: self.window.received(),
            charge: Charge::default(),
        });
    }

    /// Records that the endpoints have read what a former life left.
    pub fn settle_inherited(&mut self, now: Instant, life: LifeNumber) {
        self.update_inherited(now);
        for inherited in self.inherited.extract_if(.., |it| it.life == life) {
            self.window.record_inherited(now, inherited.charge);
        }
    }

    /// Adjusts what former lives may have left to the requests and the time since.
    fn update_inherited(&mut self, now: Instant) {
        if self.inherited.is_empty() {
            return;
        }
        let paying = self.window.prepaying(now);
        let received = self.window.received();
        let mut sum = Charge::default();
        for inherited in &mut self.inherited {
            let requests = received.saturating_sub(inherited.requests) as f64;
            let paid = self.limit.ratio * requests.min(paying);
            let passed = now.saturating_duration_since(inherited.since);
            let elapsed = passed.div_duration_f64(self.limit.window.mul_f64(INHERITED_SHARE));
            let spare = self.limit.spare * elapsed.min(1.0);
            let charge = &mut inherited.charge;
            charge.paid = charge.paid.max(inherited.share * paid);
            charge.spare = charge.spare.max(inherited.share * spare);
            sum.add(*charge);
        }
        self.window.set_inherited(sum);
    }

    /// Returns the limit.
    pub fn limit(&self) -> RetryLimit {
        self.limit
    }

    /// Changes the limit. Requests and arrived retries of another window's length are forgotten.
    pub fn set_limit(&mut self, now: Instant, limit: RetryLimit) {
        self.advance(now);
        if (limit.window, limit.delay) != (self.limit.window, self.limit.delay) {
            self.window.restart(now, limit.window, limit.delay);
            self.spare = 0.0;
        }
        self.limit = limit;
        self.spare = self.spare.min(self.burst());
    }

    /// Counts a first attempt that reached this router's sockets at `earliest` or later.
    pub fn record_request(&mut self, now: Instant, earliest: Instant) {
        self.window.record_request(now, earliest);
    }

    /// Moves all that was counted into the past, by a time that the clock did not count.
    pub fn skip(&mut self, time: Duration) {
        self.window.skip(time);
    }

    /// Returns whether a retry is available, without taking it.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        self.charge(now).is_some()
    }

    /// Takes one retry from the budget, or returns nothing if none is available. Requests pay for as much of it as they
    /// can, and spare retries for the rest.
    pub fn try_retry(&mut self, now: Instant) -> Option<PendingRetry> {
        let charge = self.charge(now)?;
        self.spare -= charge.spare;
        self.window.record_retry(charge);
        Some(PendingRetry {
            charge,
            uncovered: false,
        })
    }

    /// Records that a retry has arrived, or that it can't arrive any more.
    pub fn settle(&mut self, now: Instant, retry: PendingRetry) {
        self.window.record_arrival(now, retry.charge);
    }

    /// Returns how much of the retries that have not arrived the latest requests do not pay for.
    ///
    /// While requests go on, they pay for retries that are long on their way. Once they stop, spare retries have to.
    pub fn uncovered(&mut self, now: Instant) -> f64 {
        self.window.unpaid(now, self.limit.ratio)
    }

    /// Has spare retries pay for a retry that requests do not pay for any more.
    ///
    /// Returns false, once for each retry, if there are not enough of them. The limit holds nevertheless unless the
    /// retry arrives beside as many others as are allowed.
    pub fn cover(&mut self, now: Instant, retry: &mut PendingRetry) -> bool {
        let amount = retry.charge.paid;
        if amount > self.spare_left(now) {
            return std::mem::replace(&mut retry.uncovered, true);
        }
        let charge = Charge {
            paid: 0.0,
            spare: retry.charge.spare + amount,
        };
        self.window.change_charge(retry.charge, charge);
        self.spare -= amount;
        retry.charge = charge;
        true
    }

    /// Returns what was counted lately, and what is available.
    pub fn usage(&mut self, now: Instant) -> RetryUsage {
        let available = self.has_retry(now);
        RetryUsage {
            requests: self.window.requests(now),
            retries: self.window.retries(now),
            spare: self.spare,
            pending: self.window.pending(),
            inherited: self.window.inherited(),
            available,
        }
    }

    /// Returns whether nothing is counted any more, so that a new budget would be as good.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.window.requests(now) == 0 && self.window.pending() == 0
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

    /// Returns what would pay for a retry now, if one is available.
    fn charge(&mut self, now: Instant) -> Option<Charge> {
        self.update_inherited(now);
        let paid = self.window.available(now, self.limit.ratio).min(1.0);
        let spare = 1.0 - paid;
        (spare <= self.spare_left(now)).then_some(Charge { paid, spare })
    }

    /// Returns the spare retries that may be sent now. Those that are long on their way count in each window until they
    /// arrive.
    fn spare_left(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let used = self.window.spare_retries(now);
        self.spare.min(self.limit.spare - used).max(0.0)
    }

    /// Returns the most spare retries that may be sent at once.
    fn burst(&self) -> f64 {
        let burst = (self.limit.spare * BURST_SHARE).max(1.0);
        if burst <= self.limit.spare {
            burst
        } else {
            0.0
        }
    }

    /// Adds the spare retries of the time that passed. A window and its delay hold a burst and what is added meanwhile,
    /// and no more than that also if the router starts anew in it.
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let period = (self.limit.window + self.limit.delay).as_secs_f64();
        let rate = (self.limit.spare - self.burst()).max(0.0) / period;
        self.spare = (self.spare + passed * rate).min(self.burst());
    }
}
