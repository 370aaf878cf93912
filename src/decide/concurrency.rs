//! How many requests a router lets one endpoint run at once.
//!
//! Answers an endpoint that can do less than its setting says: long prompts, a cache under pressure, a slow machine,
//! other routers' work. What a router sends beyond that waits in the endpoint's own queue, where priorities, deadlines
//! and fairness of the router no longer reach it, and where the time to the first token grows for all. The limit grows
//! by a step while requests start well and shrinks by a factor when the endpoint says that some wait, or when the first
//! token takes far longer than the best that was seen: routers that share an endpoint so come to like shares of it.

use std::time::Duration;
use std::time::Instant;

use crate::decide::choose::Load;

/// What remains of the limit when requests wait at the endpoint. Smaller steps back than a half, because one report
/// tells all routers at once and all of them step back.
const BACK: f64 = 0.85;

/// How much each good start adds, over the limit: one more for each round of as many requests as are let in.
const STEP: f64 = 1.0;

/// How often it steps back at most: a report lags by a second or so, and the next shows the effect of the last step.
const PACE: Duration = Duration::from_secs(2);

/// How many times the best time to the first token is too long. Prompts of one model differ by an order of magnitude,
/// and a longer one is no sign of overload by itself.
const SLOW: f64 = 8.0;

/// How fast the best time is forgotten: by a tenth in a thousand samples, so that one lucky start does not count for
/// ever.
const FORGOTTEN: f64 = 1.0001;

/// The weight of the newest sample in the average time.
const NEWEST: f64 = 0.1;

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
    most: f64,
    limit: f64,
    active: u32,
    best: f64,
    average: f64,
    stepped: Option<Instant>,
}

impl EndpointLimit {
    /// Makes a limit that begins at, and never exceeds, what the pool's setting allows.
    pub fn new(most: u32) -> Self {
        let most = f64::from(most.max(1));
        Self {
            most,
            limit: most,
            active: 0,
            best: f64::MAX,
            average: 0.0,
            stepped: None,
        }
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
    pub fn change(&mut self, most: u32) {
        self.most = f64::from(most.max(1));
        self.limit = self.limit.min(self.most);
    }

    /// Returns whether one more may start.
    pub fn has_room(&self) -> bool {
        self.active < self.limit()
    }

    /// Counts one more, if it may start.
    pub fn try_acquire(&mut self) -> bool {
        let room = self.has_room();
        self.active += u32::from(room);
        room
    }

    /// Counts one less, and learns from how it went.
    pub fn release(&mut self, now: Instant, sample: Sample) {
        let busy = self.active * 2 >= self.limit();
        self.active = self.active.saturating_sub(1);
        match sample {
            Sample::Answered(time) => self.answered(now, time.as_secs_f64(), busy),
            Sample::Refused => self.step_back(now),
            Sample::Other => (),
        }
    }

    /// Takes in the endpoint's load report.
    pub fn report(&mut self, now: Instant, load: Load) {
        // A few that wait keep the batch full when one ends; more than an eighth of the batch wait for nothing.
        if load.waiting > load.running / 8 + 1 {
            self.step_back(now);
        }
    }

    fn answered(&mut self, now: Instant, time: f64, busy: bool) {
        self.best = (self.best * FORGOTTEN).min(time);
        self.average = match self.average {
            0.0 => time,
            average => average + (time - average) * NEWEST,
        };
        if self.average > self.best * SLOW {
            self.step_back(now);
        } else if busy {
            // A limit that is not reached is not known to be good, and does not grow.
            self.limit = (self.limit + STEP / self.limit).min(self.most);
        }
    }

    fn step_back(&mut self, now: Instant) {
        if self.stepped.is_some_and(|at| now < at + PACE) {
            return;
        }
        self.stepped = Some(now);
        self.limit = (self.limit * BACK).max(1.0);
    }
}
