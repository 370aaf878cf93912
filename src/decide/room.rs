//! An estimate of how many requests an endpoint holds before it rejects more.
//!
//! Handles an endpoint that fails if it has to reject more than a few requests in a second. What it lists as its slots is
//! an upper bound: long requests may fill its memory before, and the list may be wrong. The estimate starts low and
//! grows while it is used up and nothing is rejected, each time by fewer requests than the endpoint can reject. A
//! rejection lowers it. From then on it grows fast up to what the endpoint may have had then, and slowly beyond.

use std::time::Duration;
use std::time::Instant;

/// How long an increase is in use before the next one, while nothing was rejected: longer than a rejection takes.
const GROWTH_INTERVAL: Duration = Duration::from_millis(100);

/// The interval of increases beyond the ceiling.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What part of itself the estimate grows by beyond the ceiling.
const PROBE_DIVISOR: u32 = 8;

/// The period that the rejections which an endpoint tolerates refer to.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// What part of the rejections that an endpoint tolerates in a second is no sign that the estimate is far too high.
const REJECTIONS_DIVISOR: u32 = 2;

/// What part of its requests an endpoint is assumed to have too many of after more rejections than that.
const EXCESS_DIVISOR: u32 = 4;

/// What part of the rejections that an endpoint tolerates in a second an increase may cause. The others are left to
/// requests that are not counted, such as those of routers that have just started.
const STEP_DIVISOR: u32 = 4;

/// The requests that an endpoint has according to the routers.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointLoad {
    /// The most that it may have.
    pub(super) committed: u32,
    /// Those that routers told of.
    pub(super) in_use: u32,
}

/// An estimate of how many requests an endpoint holds.
#[derive(Clone, Debug)]
pub(super) struct RoomEstimate {
    /// How many requests the endpoint lists.
    slots: u32,
    /// How many rejections it tolerates in a second.
    tolerance: u32,
    limit: u32,
    /// The most requests that the endpoint may have had after its last rejection.
    ceiling: Option<u32>,
    /// The rejections of the last second, as their time and number.
    rejections: Vec<(Instant, u32)>,
    grown_at: Instant,
}

impl RoomEstimate {
    /// Creates an estimate of which nothing is known but what the endpoint says.
    pub(super) fn new(now: Instant, slots: u32, tolerance: u32) -> Self {
        Self {
            slots: slots.max(1),
            tolerance,
            limit: max_step(tolerance).min(slots.max(1)),
            ceiling: None,
            rejections: Vec::new(),
            grown_at: now,
        }
    }

    /// Returns how many requests the endpoint may have.
    pub(super) fn limit(&self) -> u32 {
        self.limit
    }

    /// Applies what the endpoint says now.
    pub(super) fn update(&mut self, slots: u32, tolerance: u32) {
        self.slots = slots.max(1);
        self.tolerance = tolerance;
        self.limit = self.limit.min(self.slots);
    }

    /// Raises the estimate to the requests that the endpoint has already.
    pub(super) fn adopt(&mut self, in_use: u32) {
        self.limit = self.limit.max(in_use.min(self.slots));
    }

    /// Lowers the estimate by rejected requests while it is unknown how far it may grow.
    pub(super) fn record_rejections(&mut self, now: Instant, count: u32) {
        self.limit = self.limit.saturating_sub(count).max(1);
        self.grown_at = now;
    }

    /// Lowers the estimate to the requests that the endpoint still has after rejections, and below them if many were
    /// rejected within a second.
    ///
    /// The most that it may have had becomes the ceiling, up to which the estimate soon grows again: requests that ended
    /// together, or rejections that were heard late, would otherwise leave slots unused for long.
    pub(super) fn settle(&mut self, now: Instant, count: u32, load: EndpointLoad) {
        self.forget_rejections(now);
        self.rejections.push((now, count));
        let many = self.recent_rejections() > self.max_rejections().max(1);
        self.grown_at = now;
        let ceiling = self.limit.min(load.committed).max(1);
        self.ceiling = Some(ceiling);
        let excess = match many {
            true => load.committed.div_ceil(EXCESS_DIVISOR),
            false => 0,
        };
        self.limit = ceiling.min(load.in_use.saturating_sub(excess)).max(1);
    }

    /// Raises the estimate if it is used up and the last increase caused no rejection.
    pub(super) fn grow(&mut self, now: Instant, in_use: u32) {
        self.forget_rejections(now);
        let max_step = max_step(self.tolerance);
        let (interval, step) = match self.ceiling {
            Some(ceiling) if self.limit < ceiling => {
                if self.recent_rejections() > self.max_rejections() {
                    return;
                }
                (GROWTH_INTERVAL, ceiling - self.limit)
            }
            Some(_) if self.tolerance == 0 => return,
            Some(_) => (PROBE_INTERVAL, (self.limit / PROBE_DIVISOR).max(1)),
            None => (GROWTH_INTERVAL, max_step),
        };
        if in_use < self.limit || now < self.grown_at + interval {
            return;
        }
        self.grown_at = now;
        let grown = self.limit.saturating_add(step.min(max_step));
        self.limit = grown.min(self.slots);
    }

    /// Halves an estimate that was measured, since the endpoint may hold fewer requests from now on.
    pub(super) fn measure_again(&mut self, now: Instant) {
        if self.limit >= self.slots {
            return;
        }
        self.ceiling = self.ceiling.max(Some(self.limit));
        self.limit = (self.limit / 2).max(1);
        self.grown_at = now;
    }

    fn forget_rejections(&mut self, now: Instant) {
        self.rejections
            .retain(|(at, _)| now < *at + REJECTION_WINDOW);
    }

    fn recent_rejections(&self) -> u32 {
        let counts = self.rejections.iter().map(|(_, count)| *count);
        counts.fold(0, u32::saturating_add)
    }

    /// Returns how many rejections in a second are no sign that the estimate is far too high.
    fn max_rejections(&self) -> u32 {
        self.tolerance / REJECTIONS_DIVISOR
    }
}

/// Returns by how many requests an estimate may grow at once.
fn max_step(tolerance: u32) -> u32 {
    (tolerance / STEP_DIVISOR).max(1)
}
