//! How many requests a router lets one endpoint run at once.
//!
//! Answers an endpoint that can do less than its setting says: long prompts, a cache under pressure, a slow machine,
//! other routers' work. What a router sends beyond that waits in the endpoint's own queue, where priorities, deadlines
//! and fairness of the router no longer reach it, and where the time to the first token grows for all. Each load report
//! moves the limit towards what fills the endpoint without a queue; without reports it grows by a step while requests
//! start well and shrinks by a factor when the first token takes far longer than the best that was seen.

use std::time::Duration;
use std::time::Instant;

use crate::decide::choose::Load;

/// The part of the setting that a router begins with. Several routers share an endpoint, and what was sent too much waits
/// there until it is worked off: beginning at a quarter cost a tenth of the goodput of a burst, beginning at all of it
/// half a minute.
const INITIAL_SHARE: f64 = 0.125;

/// The least that it begins at, if the setting allows it.
const MIN_INITIAL: f64 = 4.0;

/// How far one report moves the limit, of the way to what would fit. A report is a second or so old, and all routers
/// follow the same one: above a half they swing, below a fifth a burst is over before they have followed.
const REPORT_GAIN: f64 = 0.4;

/// The most that the limit may be thought too low: an endpoint with room does not say how much more it could do.
const MAX_RATIO: f64 = 1.25;

/// The most that it may be thought too high: what waits there is being worked off, and tells little of what will fit.
const MIN_RATIO: f64 = 0.5;

/// How many more are tried at an endpoint that is full without a queue.
const PROBE_STEP: f64 = 0.5;

/// After so long without a report answers alone decide: a plain service sends none.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// What remains of the limit when answers are slow.
const BACKOFF_FACTOR: f64 = 0.85;

/// How often it steps back for that at most: the next answers are of requests that were sent before.
const BACKOFF_INTERVAL: Duration = Duration::from_secs(2);

/// How many times the best time to the first token is too long. Prompts of one model differ by an order of magnitude,
/// and a longer one is no sign of overload by itself.
const SLOW_FACTOR: f64 = 8.0;

/// The growth of the best time at each sample: by a tenth in a thousand samples, so that one unusually fast answer does
/// not count for ever.
const BEST_GROWTH: f64 = 1.0001;

/// The weight of the newest sample in the average time.
const EWMA_WEIGHT: f64 = 0.1;

/// How a request at the endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// It was answered; the first token came after this time.
    Answered(Duration),
    /// The endpoint refused it as too much.
    Refused,
    /// It ended in a way that tells nothing of the load.
    Other,
}

/// One router's limit on its requests in progress at one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointLimit {
    max: f64,
    limit: f64,
    active: u32,
    /// Whether the limit stays what the pool's setting says.
    fixed: bool,
    /// The rest of limits that are no whole numbers: at 2.7, three are allowed seven times in ten.
    credit: f64,
    /// How many the endpoint runs at once, known once it had some waiting.
    slots: Option<f64>,
    /// Whether the limit was reached, and anything answered, since the last report.
    limit_reached: bool,
    answered: bool,
    /// Whether it was ever too high.
    overshot: bool,
    last_report: Option<Instant>,
    last_backoff: Option<Instant>,
    best_latency: f64,
    mean_latency: f64,
}

impl EndpointLimit {
    /// Makes a limit that never exceeds what the pool's setting allows, and begins far below it.
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

    /// Keeps the limit at what the pool's setting says.
    ///
    /// Where prompts differ by three orders of magnitude the time to the first token tells of the prompt, not of the load,
    /// and a limit that follows it would shrink to nothing on an idle endpoint.
    pub fn fix(&mut self) {
        self.fixed = true;
        self.limit = self.max;
    }

    /// Returns how many may be in progress now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns how many are in progress.
    pub fn active(&self) -> u32 {
        self.active
    }

    /// Takes over a changed setting.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max.max(1));
        self.limit = match self.fixed {
            true => self.max,
            false => self.limit.min(self.max),
        };
    }

    /// Returns whether one more may start.
    pub fn has_room(&self) -> bool {
        self.active < self.limit() + u32::from(self.credit >= 1.0)
    }

    /// Counts one more, and tells whether it keeps to the limit. One that does not counts too.
    pub fn try_acquire(&mut self) -> bool {
        let room = self.has_room();
        self.active += 1;
        self.limit_reached |= self.active >= self.limit();
        room
    }

    /// Counts one less, and learns from how it went.
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

    /// Takes in the endpoint's load report.
    pub fn report(&mut self, now: Instant, load: Load) {
        let ratio = self.capacity_ratio(load);
        self.overshot |= ratio < 1.0;
        // A limit that is not reached is not known to be good. Nor is one while nothing is answered: an endpoint that is
        // down reports, or is thought, to be idle, and would be flooded when it is back.
        if ratio < 1.0 || self.limit_reached && self.answered {
            let factor = 1.0 + (ratio - 1.0) * REPORT_GAIN;
            self.limit = (self.limit * factor).clamp(1.0, self.max);
        }
        self.last_report = Some(now);
        self.limit_reached = false;
        self.answered = false;
    }

    /// Returns what would fill the endpoint, of what it has.
    fn capacity_ratio(&mut self, load: Load) -> f64 {
        let running = f64::from(load.running);
        let total = running + f64::from(load.waiting);
        match self.slots {
            _ if load.waiting > 0 => self.slots = Some(running),
            // A full batch with nothing waiting may be one that could be larger.
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

    /// Grows, where no reports say better: by one for each answer until it was once too high, and by one for each round
    /// of answers from then on.
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
