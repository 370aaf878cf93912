//! Which endpoints are kept out because they are slow or failing.
//!
//! Answers an endpoint that fails or dawdles at each request and, being idle, looks the best to all who choose by load.
//! Without ejection one in twelve takes far more than a twelfth of the traffic down with it. Ejection has a failure of
//! its own: checks that fail though the endpoints are well, alternating with ones that pass, take so much capacity out
//! that the rest falls over. So only a part of a pool and of a failure domain may be out at once, it may go out only so
//! fast, and an endpoint that was put out before stays out longer.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;

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

/// The weight of the newest sample in an average.
const NEWEST: f64 = 1.0 / 16.0;

/// The most of a pool that may be out: a fleet runs at about four fifths of what it can do at its peak.
const POOL_SHARE: f64 = 0.2;

/// The most of one failure domain that may be out: a check that fails for a whole domain tells more about the way there
/// than about the endpoints.
const DOMAIN_SHARE: f64 = 0.5;

/// How often one more may go out. Without it all that the cap allows goes in the first second of a false alarm.
const PACE: Duration = Duration::from_secs(2);

/// How long an endpoint stays out the first time: a restart takes a few seconds.
const FIRST_OUT: Duration = Duration::from_secs(5);

/// The longest that it stays out between two trials.
const LONGEST_OUT: Duration = Duration::from_secs(300);

/// Good answers in a row that end a trial.
const TRIAL: u32 = 3;

/// How long an endpoint must have been well for its earlier ejections to be forgotten.
const FORGET: Duration = Duration::from_secs(600);

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
    ejections: u32,
    changed: Instant,
}

/// Ejects the endpoints of one pool.
#[derive(Debug, Default)]
pub struct Ejector {
    endpoints: IndexMap<VmId, Endpoint>,
    median: f64,
    sorted: Option<Instant>,
    last: Option<Instant>,
}

impl Ejector {
    /// Makes one that knows no endpoint.
    pub fn new() -> Self {
        Self::default()
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
        match self.endpoints.get(vm).and_then(|e| e.until) {
            None => Health::In,
            Some(until) if now >= until => Health::Trial,
            Some(_) => Health::Out,
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
        endpoint.note(evidence);
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
        let paced = self.last.is_none_or(|last| now >= last + PACE);
        let near: Vec<_> = self
            .endpoints
            .values()
            .filter(|e| e.domain == endpoint.domain)
            .collect();
        let out = near.iter().filter(|e| e.until.is_some()).count();
        paced
            && self.ejected() < allowed(self.endpoints.len(), POOL_SHARE)
            && out < allowed(near.len(), DOMAIN_SHARE)
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
    fn note(&mut self, evidence: Evidence) {
        match evidence {
            Evidence::Answered(time) => {
                self.failures = 0;
                self.good += 1;
                self.average(0.0);
                self.time(time.as_secs_f64());
            }
            Evidence::Failed => {
                self.failures += 1;
                self.good = 0;
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
        if self.good >= TRIAL || self.checks == 0 && evidence == Evidence::Checked(true) {
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

/// Returns how many of `count` may be out: none of two, and one of three.
fn allowed(count: usize, share: f64) -> usize {
    match count {
        0..=2 => 0,
        _ => ((count as f64 * share) as usize).max(1),
    }
}
