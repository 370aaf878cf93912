//! An adaptive limit on the requests that a router has in progress at one endpoint.
//!
//! Handles an endpoint that can do less than its setting says because of long prompts, cache pressure, a slow machine
//! or the work of other routers. Requests beyond its capacity wait in the endpoint's own queue, out of reach of the
//! router's priorities, deadlines and fair queueing, and increase the time to the first token for all. Each load report
//! moves the limit towards the value that fills the endpoint without a queue. Without reports the limit grows by a step
//! while first tokens arrive promptly, and shrinks by a factor when they take far longer than the best time seen.

use std::time::Duration;
use std::time::Instant;

use crate::decide::choose::Load;

/// The initial limit as a share of the setting. Several routers share an endpoint, and excess requests wait there until
/// they are worked off: starting at a quarter cost a tenth of the goodput of a burst, and starting at the whole setting
/// cost half a minute.
const INITIAL_SHARE: f64 = 0.125;

/// The smallest initial limit, if the setting allows it.
const MIN_INITIAL: f64 = 4.0;

/// How far one report moves the limit towards the value that fits. A report is about a second old, and all routers
/// follow the same one: above a half the limits oscillate, and below a fifth a burst is over before they have adapted.
const REPORT_GAIN: f64 = 0.4;

/// The upper bound of the ratio of capacity to load in a report: an endpoint with room does not report how much more it
/// could do.
const MAX_RATIO: f64 = 1.25;

/// The lower bound of that ratio: the waiting requests are being worked off, and say little about what will fit.
const MIN_RATIO: f64 = 0.5;

/// How many additional slots to assume at an endpoint that is full without a queue.
const PROBE_STEP: f64 = 0.5;

/// How long after the last report only answers move the limit; a plain service sends no reports.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// The factor by which slow answers lower the limit.
const BACKOFF_FACTOR: f64 = 0.85;

/// The shortest time between two reductions: the answers that arrive next are to requests sent before the reduction.
const BACKOFF_INTERVAL: Duration = Duration::from_secs(2);

/// The multiple of the best time to the first token that counts as too slow. Prompts of one model differ by an order of
/// magnitude, and a long one alone is no sign of overload.
const SLOW_FACTOR: f64 = 8.0;

/// The growth of the best time at each sample: by a tenth in a thousand samples, so that one unusually fast answer does
/// not count for ever.
const BEST_GROWTH: f64 = 1.0001;

/// The weight of the newest sample in the mean time.
const EWMA_WEIGHT: f64 = 0.1;

/// How a request at the endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// It was answered, and the first token arrived after this time.
    Answered(Duration),
    /// The endpoint refused it because of overload.
    Refused,
    /// It ended in a way that says nothing about the load.
    Other,
}

/// One router's limit on its requests in progress at one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointLimit {
    max: f64,
    limit: f64,
    active: u32,
    /// Whether the limit stays at the pool's setting.
    fixed: bool,
    /// The accumulated fractions of the limit: at 2.7, three requests are allowed seven times in ten.
    credit: f64,
    /// How many requests the endpoint runs at once, known once some were waiting there.
    slots: Option<f64>,
    /// Whether, since the last report, the limit was reached, and any request was answered.
    limit_reached: bool,
    answered: bool,
    /// Whether the limit was ever too high.
    overshot: bool,
    last_report: Option<Instant>,
    last_backoff: Option<Instant>,
    best_latency: f64,
    mean_latency: f64,
}

impl EndpointLimit {
    /// Creates a limit that never exceeds the pool's setting and starts far below it.
    pub fn new(max: u32) -> Self {
        let max = f64::from(max.max(1));
        Self {
            max,
            limit: (max * INITIAL_SHARE).max(MIN_INITIAL).min(max),
            active: 0,
            fixed: false,
            credit: 0.0,
            slots: None,
            limit_reached: false,
            answered: false,
            overshot: false,
            last_report: None,
            last_backoff: None,
            best_latency: f64::MAX,
            mean_latency: 0.0,
        }
    }

    /// Keeps the limit at the pool's setting.
    ///
    /// Where prompts differ by three orders of magnitude the time to the first token depends on the prompt rather than
    /// on the load, and an adaptive limit would shrink to nothing at an idle endpoint.
    pub fn fix(&mut self) {
        self.fixed = true;
        self.limit = self.max;
    }

    /// Returns how many requests may be in progress.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the number of requests in progress.
    pub fn active(&self) -> u32 {
        self.active
    }

    /// Applies a changed setting.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max.max(1));
        self.limit = match self.fixed {
            true => self.max,
            false => self.limit.min(self.max),
        };
    }

    /// Returns whether one more request may start.
    pub fn has_room(&self) -> bool {
        self.active < self.limit() + u32::from(self.credit >= 1.0)
    }

    /// Counts a request, and returns whether it is within the limit. It is counted even if it is not.
    pub fn try_acquire(&mut self) -> bool {
        let room = self.has_room();
        self.active += 1;
        self.limit_reached |= self.active >= self.limit();
        room
    }

    /// Ends a request, and adapts the limit to how it ended.
    pub fn release(&mut self, now: Instant, sample: Sample) {
        self.credit = self.credit.fract() + self.limit.fract();
        self.active = self.active.saturating_sub(1);
        if self.fixed {
            return;
        }
        match sample {
            Sample::Answered(time) => self.record_latency(now, time.as_secs_f64()),
            Sample::Refused => self.back_off(now),
            Sample::Other => (),
        }
    }

    /// Adapts the limit to the endpoint's load report.
    pub fn report(&mut self, now: Instant, load: Load) {
        let ratio = self.capacity_ratio(load);
        self.overshot |= ratio < 1.0;
        // A limit that was not reached is not known to be adequate. Nor is one while nothing is answered: an endpoint
        // that is down reports or seems to be idle, and would be flooded when it is up again.
        if ratio < 1.0 || self.limit_reached && self.answered {
            let factor = 1.0 + (ratio - 1.0) * REPORT_GAIN;
            self.limit = (self.limit * factor).clamp(1.0, self.max);
        }
        self.last_report = Some(now);
        self.limit_reached = false;
        self.answered = false;
    }

    /// Returns the ratio of the endpoint's capacity to its load.
    fn capacity_ratio(&mut self, load: Load) -> f64 {
        let running = f64::from(load.running);
        let total = running + f64::from(load.waiting);
        match self.slots {
            _ if load.waiting > 0 => self.slots = Some(running),
            // A full batch with nothing waiting may have room to grow.
            Some(slots) if running >= slots => self.slots = Some(running + PROBE_STEP),
            _ => (),
        }
        let ratio = self.slots.map_or(MAX_RATIO, |slots| slots / total.max(1.0));
        ratio.clamp(MIN_RATIO, MAX_RATIO)
    }

    fn record_latency(&mut self, now: Instant, time: f64) {
        self.answered = true;
        self.best_latency = (self.best_latency * BEST_GROWTH).min(time);
        self.mean_latency = match self.mean_latency {
            0.0 => time,
            mean => mean + (time - mean) * EWMA_WEIGHT,
        };
        if self.mean_latency > self.best_latency * SLOW_FACTOR {
            self.back_off(now);
        } else if self.limit_reached {
            self.grow(now);
        }
    }

    /// Raises the limit if there are no recent reports: by one for each answer until the limit was too high once, and
    /// from then on by one for each round of answers.
    fn grow(&mut self, now: Instant) {
        if self.last_report.is_some_and(|at| now < at + REPORT_TIMEOUT) {
            return;
        }
        let step = if self.overshot { 1.0 / self.limit } else { 1.0 };
        self.limit = (self.limit + step).min(self.max);
    }

    fn back_off(&mut self, now: Instant) {
        if self
            .last_backoff
            .is_some_and(|at| now < at + BACKOFF_INTERVAL)
        {
            return;
        }
        self.last_backoff = Some(now);
        self.overshot = true;
        self.limit = (self.limit * BACKOFF_FACTOR).max(1.0);
    }
}
