//! Which endpoints are kept out because they are slow or failing.
//!
//! Answers an endpoint that fails or dawdles at each request and, being idle, looks the best to all who choose by load.
//! Without ejection one in twelve takes far more than a twelfth of the traffic down with it. Ejection has a failure of
//! its own: checks that fail though the endpoints are well, alternating with ones that pass, take so much capacity out
//! that the rest falls over. So only a part of a pool and of a failure domain may be out at once, it may go out only so
//! fast, and an endpoint that was put out before stays out longer.

use std::hash::BuildHasherDefault;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;

use crate::decide::hasher::FastHasher;
use crate::ids::DomainId;
use crate::ids::VmId;

/// Failures in a row that eject. At one failure in a hundred by chance, five in a row come once in ten thousand million.
const FAILURES: u32 = 5;

/// Failed checks in a row that eject: fewer than requests, as a check is sent only every second or so.
const CHECKS: u32 = 3;

/// The share of failures, averaged over about 16 requests, that ejects.
const ERRORS: f64 = 0.5;

/// How many times the pool's median time to the first token ejects. Below three, an endpoint that merely has the long
/// prompts would go.
const SLOW: f64 = 3.0;

/// How many answers a share of failures or a time must rest on.
const SAMPLES: u32 = 8;

/// How many answers it takes for an endpoint to be thought slower than others, before it is ejected.
const FEW: u32 = 2;

/// The weight of the newest sample in an average.
const NEWEST: f64 = 1.0 / 16.0;

/// How long an endpoint stays out the first time: a restart takes a few seconds.
const FIRST_OUT: Duration = Duration::from_secs(5);

/// The longest that it stays out between two trials.
const LONGEST_OUT: Duration = Duration::from_secs(300);

/// Half of the pause after a first failed request; each further one in a row doubles it. The caps do not count pauses:
/// they are short, and rest on a request that did fail, not on a check. Without them an outage of a whole pool answers
/// every waiting request with a failure within milliseconds, and callers spend all their tries on it.
const PAUSE: Duration = Duration::from_millis(50);

/// The longest pause: how late an outage's end may be noticed.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Good answers in a row that end a trial.
const TRIAL: u32 = 3;

/// How long an endpoint must have been well for its earlier ejections to be forgotten.
const FORGET: Duration = Duration::from_secs(600);

/// How much may be ejected, and how fast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caps {
    /// The most of a pool that may be out, of 1.
    pub pool: f64,
    /// The most of one failure domain that may be out, of 1.
    pub domain: f64,
    /// How often one more may go out.
    pub pace: Duration,
}

impl Default for Caps {
    /// Returns caps for a fleet that runs at up to four fifths of what it can do: a fifth of a pool; half of a failure
    /// domain, because a check that fails for a whole domain tells more about the way there than about the endpoints; one
    /// every two seconds, without which all that the other two allow goes in the first second of a false alarm.
    fn default() -> Self {
        Self {
            pool: 0.2,
            domain: 0.5,
            pace: Duration::from_secs(2),
        }
    }
}

/// What was seen of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A request began to be answered, after this time.
    Answered(Duration),
    /// A request failed through the endpoint's fault.
    Failed,
    /// A check passed or did not.
    Checked(bool),
}

/// Whether an endpoint is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It is.
    In,
    /// It gets one request at a time, to see whether it is well again.
    Trial,
    /// It is not.
    Out,
}

#[derive(Debug)]
struct Endpoint {
    domain: DomainId,
    failures: u32,
    checks: u32,
    good: u32,
    errors: f64,
    latency: f64,
    samples: u32,
    /// Until when it is out; on trial after that.
    until: Option<Instant>,
    /// Until when it gets nothing after a failed request, ejected or not.
    paused: Option<Instant>,
    /// Whether failed checks alone put it out.
    checked: bool,
    ejections: u32,
    changed: Instant,
}

/// Ejects the endpoints of one pool.
#[derive(Debug, Default)]
pub struct Ejector {
    caps: Caps,
    endpoints: IndexMap<VmId, Endpoint, BuildHasherDefault<FastHasher>>,
    median: f64,
    sorted: Option<Instant>,
    last: Option<Instant>,
}

impl Ejector {
    /// Makes one that knows no endpoint.
    pub fn new(caps: Caps) -> Self {
        Self {
            caps,
            ..Self::default()
        }
    }

    /// Adds an endpoint, as well.
    pub fn put(&mut self, now: Instant, vm: &VmId, domain: &DomainId) {
        self.endpoints.entry(vm.clone()).or_insert(Endpoint {
            domain: domain.clone(),
            failures: 0,
            checks: 0,
            good: 0,
            errors: 0.0,
            latency: 0.0,
            samples: 0,
            until: None,
            paused: None,
            checked: false,
            ejections: 0,
            changed: now,
        });
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, vm: &VmId) {
        self.endpoints.swap_remove(vm);
    }

    /// Returns whether an endpoint is used.
    pub fn health(&self, now: Instant, vm: &VmId) -> Health {
        match self.endpoints.get(vm) {
            Some(e) if e.paused.is_some_and(|paused| now < paused) => Health::Out,
            Some(e) => e.health(now),
            None => Health::In,
        }
    }

    /// Returns how many times the pool's median an endpoint takes to the first token; at least 1.
    pub fn slowness(&self, vm: &VmId) -> f64 {
        match self.endpoints.get(vm) {
            Some(e) if e.samples >= FEW && self.median > 0.0 => (e.latency / self.median).max(1.0),
            _ => 1.0,
        }
    }

    /// Returns how many endpoints are out or on trial.
    pub fn ejected(&self) -> usize {
        self.endpoints
            .values()
            .filter(|e| e.until.is_some())
            .count()
    }

    /// Takes in what was seen of an endpoint and ejects it or ends its trial where that follows.
    pub fn record<R>(&mut self, now: Instant, vm: &VmId, evidence: Evidence, rng: &mut R)
    where
        R: Rng,
    {
        self.sort(now);
        let median = self.median;
        let Some(endpoint) = self.endpoints.get_mut(vm) else {
            return;
        };
        endpoint.note(now, evidence);
        let suspect = endpoint.suspect(median);
        match endpoint.until {
            None if suspect => self.eject(now, vm, rng),
            Some(until) if now >= until => endpoint.try_out(now, evidence, median, rng),
            _ => (),
        }
    }

    /// Ejects an endpoint if the caps leave room.
    fn eject<R>(&mut self, now: Instant, vm: &VmId, rng: &mut R)
    where
        R: Rng,
    {
        if !self.has_room(now, vm) {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.put_out(now, rng);
            self.last = Some(now);
        }
    }

    fn has_room(&self, now: Instant, vm: &VmId) -> bool {
        let Some(endpoint) = self.endpoints.get(vm) else {
            return false;
        };
        let paced = self.last.is_none_or(|last| now >= last + self.caps.pace);
        let near: Vec<_> = self
            .endpoints
            .values()
            .filter(|e| e.domain == endpoint.domain)
            .collect();
        let out = near.iter().filter(|e| e.until.is_some()).count();
        paced
            && self.ejected() < allowed(self.endpoints.len(), self.caps.pool)
            && out < allowed(near.len(), self.caps.domain)
    }

    /// Finds the pool's median time to the first token, once a second.
    fn sort(&mut self, now: Instant) {
        let fresh = self
            .sorted
            .is_some_and(|at| now < at + Duration::from_secs(1));
        if fresh {
            return;
        }
        self.sorted = Some(now);
        let mut times: Vec<_> = self
            .endpoints
            .values()
            .filter(|e| e.samples >= SAMPLES && e.until.is_none())
            .map(|e| e.latency)
            .collect();
        times.sort_by(f64::total_cmp);
        self.median = times.get(times.len() / 2).copied().unwrap_or(f64::MAX);
    }
}

impl Endpoint {
    fn health(&self, now: Instant) -> Health {
        match self.until {
            None => Health::In,
            Some(until) if now >= until => Health::Trial,
            Some(_) => Health::Out,
        }
    }

    fn note(&mut self, now: Instant, evidence: Evidence) {
        match evidence {
            Evidence::Answered(time) => {
                self.failures = 0;
                self.paused = None;
                self.good += 1;
                self.average(0.0);
                self.time(time.as_secs_f64());
            }
            Evidence::Failed => {
                self.failures += 1;
                self.good = 0;
                let pause = PAUSE.saturating_mul(1 << self.failures.min(16));
                self.paused = Some(now + pause.min(LONGEST_PAUSE));
                self.average(1.0);
            }
            Evidence::Checked(true) => self.checks = 0,
            Evidence::Checked(false) => self.checks += 1,
        }
    }

    fn average(&mut self, error: f64) {
        self.samples = self.samples.saturating_add(1);
        self.errors += (error - self.errors) * NEWEST.max(1.0 / f64::from(self.samples));
    }

    fn time(&mut self, time: f64) {
        self.latency += (time - self.latency) * NEWEST.max(1.0 / f64::from(self.samples));
    }

    fn suspect(&self, median: f64) -> bool {
        let failing = self.samples >= SAMPLES && self.errors > ERRORS;
        let slow = self.samples >= SAMPLES && self.latency > median * SLOW;
        self.failures >= FAILURES || self.checks >= CHECKS || failing || slow
    }

    fn put_out<R>(&mut self, now: Instant, rng: &mut R)
    where
        R: Rng,
    {
        if now >= self.changed + FORGET {
            self.ejections = 0;
        }
        self.checked = self.checks >= CHECKS;
        let time = FIRST_OUT
            .saturating_mul(1 << self.ejections.min(16))
            .min(LONGEST_OUT);
        // Routers eject together and would try the endpoint again together.
        let varied = time.mul_f64(rng.random_range(1.0..1.5));
        self.ejections += 1;
        self.until = Some(now + varied);
        self.forget(now);
    }

    /// Judges a trial by what it showed.
    fn try_out<R>(&mut self, now: Instant, evidence: Evidence, median: f64, rng: &mut R)
    where
        R: Rng,
    {
        let slow = matches!(evidence, Evidence::Answered(t) if t.as_secs_f64() > median * SLOW);
        if slow || evidence == Evidence::Failed {
            return self.put_out(now, rng);
        }
        // A check says nothing of an endpoint that is slow or fails requests.
        let passed = self.checked && evidence == Evidence::Checked(true);
        if self.good >= TRIAL || passed {
            self.until = None;
            self.forget(now);
        }
    }

    /// Starts measuring anew.
    fn forget(&mut self, now: Instant) {
        self.failures = 0;
        self.checks = 0;
        self.good = 0;
        self.errors = 0.0;
        self.latency = 0.0;
        self.samples = 0;
        self.changed = now;
    }
}

/// Returns how many of `count` may be out: none of two, and at least one of three.
fn allowed(count: usize, share: f64) -> usize {
    match count {
        0..=2 => 0,
        _ => ((count as f64 * share) as usize).max(1),
    }
}
