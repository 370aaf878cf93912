//! Tells whether a router has lost its path to the endpoints of a pool.
//!
//! Handles a VM that loses its links to all or most endpoints while callers, other routers and the log still reach it.
//! Its requests fail as they do at crashed endpoints: each waits for a connection, is retried at an endpoint that is as
//! far away, and is refused. Refusals are cheap, so the VM looks idle and its callers stay. Taken one by one, the failures
//! don't tell this from crashes. The path counts as lost if several endpoints fail in a row and none answers meanwhile,
//! or if most endpoints accept no connection; whether other routers still reach them is for them to say.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::VmId;

/// How many endpoints must be lost, if there are so many. Two that crash together are no cut.
const MIN_LOST: usize = 3;

/// How long the loss of an endpoint counts. Losses that are further apart have causes of their own.
const LOSS_LIFETIME: Duration = Duration::from_secs(5);

/// How long no endpoint must have answered before losses count as more than failures of their own: several times the
/// interval of answers in a pool that is in use.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// The shortest time between two checks of connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The fewest endpoints that are checked at once.
const MIN_CHECKED: usize = 2;

/// The most checks that it takes to check all endpoints of a pool, so that the end of a cut is noticed within seconds.
const MAX_CHECKS: usize = 6;

/// The shortest time between two requests that try a path whose check passed. Each one doubles it.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// How long after the last loss a path counts as found again because checks pass, if no request tries it. Each time that
/// no endpoint answers afterwards doubles it.
const BASE_HOLD: Duration = Duration::from_secs(1);

/// How often that time is doubled if no check failed during the cut, so that passed ones say little.
const UNSURE_DOUBLINGS: u32 = 3;

/// How often a time is doubled at the most.
const MAX_DOUBLINGS: u32 = 5;

/// How an endpoint was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// No connection could be opened.
    Connection,
    /// It did not answer.
    Answer,
}

/// How the path to a pool's endpoints changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PathChange {
    /// It counts as lost from now on.
    Lost,
    /// It counts as found again.
    Found,
}

/// Whether a router reaches the endpoints of one pool.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    /// The endpoints that were lost since the last answer of any endpoint, and when.
    lost: IndexMap<VmId, Instant>,
    /// The endpoints to which the last connection could not be opened, and when that was tried.
    unconnected: IndexMap<VmId, Instant>,
    last_answer: Option<Instant>,
    cut_since: Option<Instant>,
    checked_at: Option<Instant>,
    /// How many checks of connections passed since the last loss.
    passed: usize,
    last_loss: Option<Instant>,
    /// How often the path was found by checks, and no endpoint has answered since.
    unproved: u32,
    /// Whether a connection could not be opened during the cut.
    check_failed: bool,
    /// How many requests have tried the path during the cut.
    tries: u32,
    tried_at: Option<Instant>,
}

impl Reachability {
    /// Records that an endpoint of a pool of `count` answered. Returns whether that changes the path.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        vm: &VmId,
        count: usize,
    ) -> Option<PathChange> {
        self.last_answer = Some(now);
        self.lost.clear();
        self.unconnected.swap_remove(vm);
        self.unproved = 0;
        let is_found = self.is_cut() && !self.has_lost_most(count);
        is_found.then(|| self.find())
    }

    /// Records that an endpoint of a pool of `count` was lost. Returns whether that changes the path.
    pub(crate) fn record_loss(
        &mut self,
        now: Instant,
        vm: &VmId,
        loss: Loss,
        count: usize,
    ) -> Option<PathChange> {
        self.expire(now);
        self.passed = 0;
        self.last_loss = Some(now);
        self.lost.insert(vm.clone(), now);
        if loss == Loss::Connection {
            self.check_failed = true;
            self.unconnected.insert(vm.clone(), now);
        }
        // Requests at endpoints that crash together end together.
        let in_a_row = self.lost.len() >= MIN_LOST.min(count) && self.is_quiet(now);
        let is_lost = in_a_row || self.has_lost_most(count);
        if !is_lost || self.is_cut() {
            return None;
        }
        self.cut_since = Some(now);
        self.check_failed = loss == Loss::Connection;
        self.tries = 0;
        Some(PathChange::Lost)
    }

    /// Records whether a connection to an endpoint could be opened. Returns whether that changes the path.
    ///
    /// A connection alone does not end a cut at once: its endpoint may be mute, or it may lead to something that only
    /// accepts. But a VM that is cut may have no callers left whose requests could try the path.
    pub(crate) fn record_check(
        &mut self,
        now: Instant,
        vm: &VmId,
        passed: bool,
        count: usize,
    ) -> Option<PathChange> {
        if !passed {
            return self.record_loss(now, vm, Loss::Connection, count);
        }
        self.passed += 1;
        self.unconnected.swap_remove(vm);
        let unsure = if self.check_failed {
            0
        } else {
            UNSURE_DOUBLINGS
        };
        let hold = doubled(BASE_HOLD, self.unproved + unsure);
        let is_held = self.last_loss.is_some_and(|at| now < at + hold);
        let is_found = self.passed >= MIN_LOST.min(count) && !self.has_lost_most(count);
        if !self.is_cut() || is_held || !is_found {
            return None;
        }
        self.unproved += 1;
        Some(self.find())
    }

    fn find(&mut self) -> PathChange {
        self.cut_since = None;
        self.lost.clear();
        PathChange::Found
    }

    /// Returns the endpoints to which connections are to be checked now.
    pub(crate) fn take_checks<'a, I>(&mut self, now: Instant, endpoints: I) -> Vec<VmId>
    where
        I: Iterator<Item = &'a VmId>,
    {
        self.expire(now);
        let is_due = self.checked_at.is_none_or(|at| now >= at + CHECK_INTERVAL);
        let is_suspect = !self.lost.is_empty() && self.is_quiet(now);
        if !is_due || !(is_suspect || self.is_cut()) {
            return Vec::new();
        }
        self.checked_at = Some(now);
        let mut endpoints: Vec<_> = endpoints.collect();
        let count = match self.is_cut() {
            true => endpoints.len().div_ceil(MAX_CHECKS).max(MIN_CHECKED),
            false => MIN_CHECKED,
        };
        // During a cut those that may be reached again, else those of which nothing is known.
        let is_cut = self.is_cut();
        endpoints.sort_by_key(|vm| {
            let tried = self.unconnected.get(*vm);
            (tried.is_some() != is_cut, tried)
        });
        endpoints.into_iter().take(count).cloned().collect()
    }

    /// Returns whether a request may try the path, which counts as lost, because a check passed.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        let interval = doubled(TRIAL_INTERVAL, self.tries);
        let is_due = self.tried_at.is_none_or(|at| now >= at + interval);
        let may_try = self.is_cut() && self.passed > 0 && is_due;
        if may_try {
            self.tried_at = Some(now);
            self.tries += 1;
        }
        may_try
    }

    /// Forgets an endpoint that is gone.
    pub(crate) fn remove(&mut self, vm: &VmId) {
        self.lost.swap_remove(vm);
        self.unconnected.swap_remove(vm);
    }

    /// Returns whether the path counts as lost.
    pub(crate) fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns how long the path has been lost.
    pub(crate) fn cut_for(&self, now: Instant) -> Option<Duration> {
        self.cut_since
            .map(|since| now.saturating_duration_since(since))
    }

    /// Returns how long ago an endpoint last answered.
    pub(crate) fn answer_age(&self, now: Instant) -> Option<Duration> {
        self.last_answer.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the endpoints to which the last connection could not be opened.
    pub(crate) fn unconnected(&self) -> impl Iterator<Item = &VmId> {
        self.unconnected.keys()
    }

    fn is_quiet(&self, now: Instant) -> bool {
        self.last_answer.is_none_or(|at| now >= at + QUIET_PERIOD)
    }

    fn has_lost_most(&self, count: usize) -> bool {
        let lost = self.unconnected.len();
        lost >= MIN_LOST.min(count) && lost * 2 > count
    }

    fn expire(&mut self, now: Instant) {
        if !self.is_cut() {
            self.lost.retain(|_, at| now < *at + LOSS_LIFETIME);
            self.unconnected.retain(|_, at| now < *at + LOSS_LIFETIME);
        }
    }
}

fn doubled(time: Duration, times: u32) -> Duration {
    time * 2u32.pow(times.min(MAX_DOUBLINGS))
}

#[cfg(test)]
mod tests;
