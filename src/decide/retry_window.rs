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

/// The longest delay that is accounted for, in counting intervals.
const MAX_DELAY: usize = HALF / 2;

/// What was counted in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    requests: u32,
    /// Retries that requests paid for, which may be a part of one.
    retries: f64,
}

/// The requests and retries of the last one and a half windows.
///
/// In every window the retries may be a share of the requests in the window that begins half a window earlier. All
/// routers count in the same way, so that the limit holds for their sum if each of them keeps to its part, and requests
/// that have arrived pay for a burst of retries at any later time within half a window.
///
/// Other observers see a retry, or saw a request, at another time than this router; `delay` is by how much. Retries are
/// therefore counted in longer windows, and requests in shorter ones.
#[derive(Clone, Debug)]
pub(super) struct RetryWindow {
    start: Instant,
    slot: Duration,
    /// The delay in intervals, rounded up.
    delay: usize,
    /// How many intervals ended before the last one in `slots`.
    newest: u64,
    /// Always as many; a window may begin before the history.
    slots: VecDeque<Slot>,
}

impl RetryWindow {
    /// Creates a history that has no requests yet.
    pub(super) fn new(now: Instant, window: Duration, delay: Duration) -> Self {
        let slot = window.div_f64(SLOTS as f64).max(Duration::from_nanos(1));
        let delay = delay.as_nanos().div_ceil(slot.as_nanos());
        Self {
            start: now,
            slot,
            delay: usize::try_from(delay).unwrap_or(MAX_DELAY).min(MAX_DELAY),
            newest: 0,
            slots: VecDeque::from(vec![Slot::default(); REACH]),
        }
    }

    /// Counts a request.
    pub(super) fn record_request(&mut self, now: Instant) {
        self.current(now).requests += 1;
    }

    /// Counts retries, or a part of one.
    pub(super) fn record_retries(&mut self, now: Instant, amount: f64) {
        self.current(now).retries += amount;
    }

    /// Returns how many more retries are at most `ratio` of the requests in each window that includes this moment.
    pub(super) fn available(&mut self, now: Instant, ratio: f64) -> f64 {
        self.advance(now);
        let requests = self.request_sums();
        let mut available = f64::INFINITY;
        let mut retries = 0.0;
        // A window and the delay touch one interval more than they are long.
        for (age, slot) in self
            .slots
            .iter()
            .rev()
            .enumerate()
            .take(SLOTS + self.delay + 1)
        {
            retries += slot.retries;
            let paying = self.paying_requests(&requests, REACH - 1 - age);
            available = available.min(ratio * paying as f64 - retries);
        }
        available.max(0.0)
    }

    /// Returns the requests that are counted.
    pub(super) fn requests(&mut self, now: Instant) -> u64 {
        self.advance(now);
        self.slots.iter().map(|slot| u64::from(slot.requests)).sum()
    }

    /// Returns the retries that are counted.
    pub(super) fn retries(&mut self, now: Instant) -> f64 {
        self.advance(now);
        self.slots.iter().map(|slot| slot.retries).sum()
    }

    /// Returns for each position the requests in the intervals before it.
    fn request_sums(&self) -> Vec<u64> {
        let mut sum = 0;
        let sums = self.slots.iter().map(|slot| {
            sum += u64::from(slot.requests);
            sum
        });
        [0].into_iter().chain(sums).collect()
    }

    /// Returns the requests that were certainly sent within the window that begins half a window before the one whose
    /// retries are counted from the interval at `first` on.
    fn paying_requests(&self, sums: &[u64], first: usize) -> u64 {
        let from = (first + 2 * self.delay + 1).saturating_sub(HALF);
        let to = (first + self.delay + HALF).min(REACH);
        sums[to].saturating_sub(sums[from.min(to)])
    }

    fn current(&mut self, now: Instant) -> &mut Slot {
        self.advance(now);
        &mut self.slots[REACH - 1]
    }

    /// Starts the intervals that began since the last call, and drops those that no window reaches.
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.start).as_nanos() / self.slot.as_nanos();
        let number = u64::try_from(passed).unwrap_or(u64::MAX);
        let new = number.saturating_sub(self.newest);
        self.newest = self.newest.max(number);
        for _ in 0..new.min(REACH as u64) {
            self.slots.pop_front();
            self.slots.push_back(Slot::default());
        }
    }
}
