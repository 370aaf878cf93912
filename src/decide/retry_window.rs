//! Counts requests and retries so that retries stay within a share of the requests in every window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The counting intervals in a window. More of them waste less of what is allowed, since only whole intervals count.
const SLOTS: usize = 100;

/// The counting intervals in half a window.
const HALF: usize = SLOTS / 2;

/// The intervals that any window which includes the newest one depends on.
const REACH: usize = SLOTS + HALF;

/// The intervals for which a retry that has not arrived is paid in advance, whether or not other requests follow.
const PREPAID: usize = SLOTS / 20;

/// The interval in which the last window begins that requests pay for in advance.
const PREPAID_WINDOW: usize = REACH - 1 + PREPAID;

/// What retries are paid with. Both parts of one retry add up to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Charge {
    /// The part that requests pay for.
    pub(super) paid: f64,
    /// The part that is taken from the retries allowed regardless of requests.
    pub(super) spare: f64,
}

impl Charge {
    pub(super) fn add(&mut self, other: Self) {
        self.paid += other.paid;
        self.spare += other.spare;
    }

    fn subtract(&mut self, other: Self) {
        self.paid = (self.paid - other.paid).max(0.0);
        self.spare = (self.spare - other.spare).max(0.0);
    }
}

/// What was counted in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    /// Requests that the router read in it.
    read: u32,
    /// Requests that may have been sent in it, but not before.
    sent: u32,
    /// Retries that are known since then to have arrived.
    arrived: Charge,
}

/// Requests, summed up to each interval.
struct RequestSums {
    /// Those that were read before it.
    read: [u64; REACH + 1],
    /// Those that may have been sent before it.
    sent: [u64; REACH + 1],
}

impl RequestSums {
    /// Returns the requests that pay for the retries of each window that begins in the interval at `first`.
    fn paying(&self, first: usize) -> f64 {
        let from = (first + 1).saturating_sub(HALF);
        let to = (first + HALF).min(REACH);
        self.read[to].saturating_sub(self.sent[from]) as f64
    }
}

/// The requests and retries of the last one and a half windows.
///
/// In every window the retries may be a share of the requests in the window that begins half a window earlier. All
/// routers count in the same way, so that the limit holds for their sum if each of them keeps to its part, and requests
/// that were read pay for a burst of retries at any later time within half a window.
///
/// Other observers see a retry, or saw a request, at another time than this router. A retry therefore counts in each
/// window in which it may have arrived, from its sending until it is known to have arrived. A request counts only in
/// windows that include both the earliest time at which it may have been sent and the time at which it was read.
#[derive(Clone, Debug)]
pub(super) struct RetryWindow {
    start: Instant,
    slot: Duration,
    /// How long a request may be on its way to the router.
    delay: Duration,
    /// How many intervals ended before the last one in `slots`.
    newest: u64,
    /// Always as many; a window may begin before the history.
    slots: VecDeque<Slot>,
    /// Requests read in `slots` that may have been sent before.
    earlier: u64,
    /// Retries that may still arrive.
    pending: Charge,
    /// The number of these.
    unsettled: u32,
    /// Retries of former lives that may still arrive.
    inherited: Charge,
    /// The requests that were counted in all.
    received: u64,
}

impl RetryWindow {
    /// Creates a history that has no requests yet.
    pub(super) fn new(now: Instant, window: Duration, delay: Duration) -> Self {
        Self {
            start: now,
            slot: window.div_f64(SLOTS as f64).max(Duration::from_nanos(1)),
            delay,
            newest: 0,
            slots: VecDeque::from(vec![Slot::default(); REACH]),
            earlier: 0,
            pending: Charge::default(),
            unsettled: 0,
            inherited: Charge::default(),
            received: 0,
        }
    }

    /// Forgets all but the retries that may still arrive, for windows of another length.
    pub(super) fn restart(&mut self, now: Instant, window: Duration, delay: Duration) {
        *self = Self {
            pending: self.pending,
            unsettled: self.unsettled,
            inherited: self.inherited,
            received: self.received,
            ..Self::new(now, window, delay)
        };
    }

    /// Moves what was counted into the past.
    pub(super) fn skip(&mut self, time: Duration) {
        self.start = self.start.checked_sub(time).unwrap_or(self.start);
    }

    /// Counts a request that reached this router's sockets at `earliest` or later.
    pub(super) fn record_request(&mut self, now: Instant, earliest: Instant) {
        self.advance(now);
        let age = now.saturating_duration_since(earliest) + self.delay;
        let age = age.as_nanos().div_ceil(self.slot.as_nanos());
        let age = usize::try_from(age).unwrap_or(REACH);
        let Some(sent) = (REACH - 1).checked_sub(age) else {
            // No window that is still of interest includes the time at which it may have been sent.
            return;
        };
        self.received += 1;
        self.slots[REACH - 1].read += 1;
        self.slots[sent].sent += 1;
    }

    /// Counts a retry that is sent.
    pub(super) fn record_retry(&mut self, charge: Charge) {
        self.pending.add(charge);
        self.unsettled += 1;
    }

    /// Counts a retry that has arrived, or that can't arrive any more.
    pub(super) fn record_arrival(&mut self, now: Instant, charge: Charge) {
        self.advance(now);
        self.pending.subtract(charge);
        self.slots[REACH - 1].arrived.add(charge);
        self.unsettled = self.unsettled.saturating_sub(1);
        if self.unsettled == 0 {
            // Rounding errors of fractions must not add up.
            self.pending = Charge::default();
        }
    }

    /// Has a retry that may still arrive be paid for in another way.
    pub(super) fn change_charge(&mut self, from: Charge, to: Charge) {
        self.pending.subtract(from);
        self.pending.add(to);
    }

    /// Returns the requests that were counted in all.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// Returns the requests that pay for retries which have not arrived.
    pub(super) fn prepaying(&mut self, now: Instant) -> f64 {
        self.advance(now);
        self.request_sums().paying(PREPAID_WINDOW)
    }

    /// Returns the retries of former lives that may still arrive.
    pub(super) fn inherited(&self) -> f64 {
        self.inherited.paid + self.inherited.spare
    }

    /// Changes the retries of former lives that may still arrive.
    pub(super) fn set_inherited(&mut self, charge: Charge) {
        self.inherited = charge;
    }

    /// Counts retries of a former life that have arrived.
    pub(super) fn record_inherited(&mut self, now: Instant, charge: Charge) {
        self.advance(now);
        self.inherited.subtract(charge);
        self.slots[REACH - 1].arrived.add(charge);
    }

    /// Returns how many more retries are at most `ratio` of the requests in each window in which they may arrive.
    pub(super) fn available(&mut self, now: Instant, ratio: f64) -> f64 {
        self.advance(now);
        let sums = self.request_sums();
        let mut retries = self.pending.paid + self.inherited.paid;
        let mut available = ratio * sums.paying(PREPAID_WINDOW) - retries;
        // A window touches one interval more than it is long.
        for first in (REACH - 1 - SLOTS..REACH).rev() {
            retries += self.slots[first].arrived.paid;
            available = available.min(ratio * sums.paying(first) - retries);
        }
        available.max(0.0)
    }

    /// Returns how much of the retries that have not arrived is more than `ratio` of the latest requests.
    pub(super) fn unpaid(&mut self, now: Instant, ratio: f64) -> f64 {
        if self.unsettled == 0 {
            return 0.0;
        }
        self.advance(now);
        let paid = ratio * self.request_sums().paying(PREPAID_WINDOW);
        (self.pending.paid - paid).max(0.0)
    }

    /// Returns the retries of the last window that requests do not pay for, with those that may still arrive.
    pub(super) fn spare_retries(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let slots = self.slots.iter().rev().take(SLOTS + 1);
        self.pending.spare
            + self.inherited.spare
            + slots.map(|slot| slot.arrived.spare).sum::<f64>()
    }

    /// Returns the requests that are counted.
    pub(super) fn requests(&mut self, now: Instant) -> u64 {
        self.advance(now);
        self.slots.iter().map(|slot| u64::from(slot.read)).sum()
    }

    /// Returns the retries that are counted and that requests pay for.
    pub(super) fn retries(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let arrived = self.slots.iter().map(|slot| slot.arrived.paid);
        self.pending.paid + arrived.sum::<f64>()
    }

    /// Returns the number of retries that may still arrive.
    pub(super) fn pending(&self) -> u32 {
        self.unsettled
    }

    fn request_sums(&self) -> RequestSums {
        let mut read = [0; REACH + 1];
        let mut sent = [self.earlier; REACH + 1];
        for (n, slot) in self.slots.iter().enumerate() {
            read[n + 1] = read[n] + u64::from(slot.read);
            sent[n + 1] = sent[n] + u64::from(slot.sent);
        }
        RequestSums { read, sent }
    }

    /// Starts the intervals that began since the last call, and drops those that no window reaches.
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.start).as_nanos() / self.slot.as_nanos();
        let number = u64::try_from(passed).unwrap_or(u64::MAX);
        let new = number.saturating_sub(self.newest);
        self.newest = self.newest.max(number);
        for _ in 0..new.min(REACH as u64) {
            let old = self.slots.pop_front().unwrap_or_default();
            self.earlier = (self.earlier + u64::from(old.sent)).saturating_sub(old.read.into());
            self.slots.push_back(Slot::default());
        }
    }
}
