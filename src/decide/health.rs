//! Outlier ejection: keeps requests away from endpoints that are slow or failing.
//!
//! Handles an endpoint that fails or is slow at every request and, being idle, looks best to all routers that choose by
//! load. Without ejection one such endpoint in twelve fails far more than a twelfth of the traffic. Ejection itself can
//! fail: health checks that fail and pass in turn although the endpoints are healthy would remove so much capacity that
//! the rest is overloaded. Therefore only a part of a pool and of a failure domain may be ejected at once, ejections
//! are spaced in time, and an endpoint that was ejected before stays out longer.
//!
//! An endpoint that crashed fails every request within milliseconds until it has restarted. Each router would find that
//! out by itself, with several requests, and a caller that goes from router to router meets crashed endpoints at all of
//! them. Crashes are therefore recorded apart from failures, also those that other routers saw: requests go to other
//! endpoints first, however many crashed, until a request or a check passes.

use std::hash::BuildHasherDefault;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;

use crate::decide::hasher::FastHasher;
use crate::decide::quarantine::RESTART_TIME;
use crate::ids::DomainId;
use crate::ids::VmId;

/// Consecutive failures that eject an endpoint. With a random failure rate of one in a hundred, five in a row occur
/// once in ten thousand million.
const EJECT_FAILURES: u32 = 5;

/// Consecutive failed checks that eject an endpoint: fewer than for requests, because a check is sent only every second
/// or so.
const EJECT_CHECKS: u32 = 3;

/// The share of failures, averaged over about 16 requests, above which an endpoint is ejected.
const EJECT_ERROR_RATE: f64 = 0.5;

/// The multiple of the pool's median time to the first token above which an endpoint is ejected. Below three, an
/// endpoint that merely has long prompts would be ejected.
const EJECT_SLOWNESS: f64 = 3.0;

/// How many answers the error rate and the latency must be based on for an ejection.
const MIN_SAMPLES: u32 = 8;

/// How many answers it takes to consider an endpoint slower than others, before it is ejected.
const SLOWNESS_SAMPLES: u32 = 2;

/// The share of failures above which retries avoid an endpoint. Each retry may be the last that its request gets.
const UNRELIABLE_ERROR_RATE: f64 = 0.2;

/// How many answers the error rate must be based on for retries to avoid an endpoint.
const UNRELIABLE_SAMPLES: u32 = 2;

/// The weight of the newest sample in an average.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;

/// How long an endpoint is ejected the first time: a restart takes a few seconds.
const BASE_EJECTION: Duration = Duration::from_secs(5);

/// The longest time between two trials of an ejected endpoint.
const MAX_EJECTION: Duration = Duration::from_secs(300);

/// Half of the pause after a first failed request; each further consecutive failure doubles the pause. Pauses do not
/// count towards the ejection limits: they are short, and are caused by a request that did fail, not by a check.
/// Without them an outage of a whole pool fails every waiting request within milliseconds, and callers spend all their
/// attempts on it.
const BASE_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause, and so the longest delay in noticing that an outage is over.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Consecutive successes that end a trial.
const TRIAL_SUCCESSES: u32 = 3;

/// How long an endpoint must have been healthy for its earlier ejections to be disregarded.
const EJECTION_RESET: Duration = Duration::from_secs(600);

/// Limits on how many endpoints may be ejected, and how fast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionLimits {
    /// The largest share of a pool that may be ejected, from 0 to 1.
    pub pool: f64,
    /// The largest share of a failure domain that may be ejected, from 0 to 1.
    pub domain: f64,
    /// The shortest time between two ejections.
    pub interval: Duration,
}

impl Default for EjectionLimits {
    /// Returns limits for a fleet that runs at up to four fifths of its capacity: a fifth of a pool; half of a failure
    /// domain, because checks that fail for a whole domain indicate a fault of the network path rather than of the
    /// endpoints; one ejection every two seconds, since without it all that the other two limits allow would be ejected
    /// in the first second of a false alarm.
    fn default() -> Self {
        Self {
            pool: 0.2,
            domain: 0.5,
            interval: Duration::from_secs(2),
        }
    }
}

/// What a request or a check showed about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A request's first token arrived after this time.
    Answered(Duration),
    /// A request failed through the endpoint's fault.
    Failed,
    /// A health check passed (true) or failed.
    Checked(bool),
}

/// Whether an endpoint gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It gets requests.
    In,
    /// It gets one request at a time, to find out whether it has recovered.
    Trial,
    /// It gets none.
    Out,
}

#[derive(Debug)]
struct Endpoint {
    domain: DomainId,
    failures: u32,
    failed_checks: u32,
    successes: u32,
    error_rate: f64,
    latency: f64,
    samples: u32,
    /// The end of the ejection; the endpoint is on trial after that.
    ejected_until: Option<Instant>,
    /// The end of the pause after a failed request, whether or not the endpoint is ejected.
    paused_until: Option<Instant>,
    /// Whether it was ejected because of failed checks.
    ejected_by_checks: bool,
    ejections: u32,
    measured_since: Instant,
}

/// Ejects outliers among the endpoints of one pool.
#[derive(Debug, Default)]
pub struct Ejector {
    limits: EjectionLimits,
    endpoints: IndexMap<VmId, Endpoint, BuildHasherDefault<FastHasher>>,
    /// The endpoints that crashed and were not seen to serve since, and when each was last known to be down.
    crashed: IndexMap<VmId, Instant, BuildHasherDefault<FastHasher>>,
    median: f64,
    median_updated: Option<Instant>,
    last_ejection: Option<Instant>,
}

impl Ejector {
    /// Creates an ejector without endpoints.
    pub fn new(limits: EjectionLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Adds an endpoint as healthy.
    pub fn put(&mut self, now: Instant, vm: &VmId, domain: &DomainId) {
        self.endpoints.entry(vm.clone()).or_insert(Endpoint {
            domain: domain.clone(),
            failures: 0,
            failed_checks: 0,
            successes: 0,
            error_rate: 0.0,
            latency: 0.0,
            samples: 0,
            ejected_until: None,
            paused_until: None,
            ejected_by_checks: false,
            ejections: 0,
            measured_since: now,
        });
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, vm: &VmId) {
        self.endpoints.swap_remove(vm);
        self.crashed.swap_remove(vm);
    }

    /// Records that an endpoint crashed, as seen by this router or reported by another.
    pub fn record_crash(&mut self, now: Instant, vm: &VmId) {
        if self.endpoints.contains_key(vm) {
            self.crashed.insert(vm.clone(), now);
        }
    }

    /// Returns the endpoints that crashed and may still be down. Requests should go to others if there are any.
    pub fn crashed(&self, now: Instant) -> impl Iterator<Item = &VmId> {
        let crashed = self.crashed.keys();
        crashed.filter(move |vm| self.has_crashed(now, vm))
    }

    /// Returns whether an endpoint crashed and may still be down.
    pub fn has_crashed(&self, now: Instant, vm: &VmId) -> bool {
        let at = self.crashed.get(vm);
        at.is_some_and(|at| now < *at + RESTART_TIME)
    }

    /// Returns whether an endpoint gets requests.
    pub fn health(&self, now: Instant, vm: &VmId) -> Health {
        match self.endpoints.get(vm) {
            Some(e) if e.paused_until.is_some_and(|until| now < until) => Health::Out,
            Some(e) => match e.health(now) {
                Health::In if self.has_crashed(now, vm) => Health::Trial,
                health => health,
            },
            None => Health::In,
        }
    }

    /// Returns an endpoint's time to the first token as a multiple of the pool's median; at least 1.
    pub fn slowness(&self, vm: &VmId) -> f64 {
        match self.endpoints.get(vm) {
            Some(e) if e.samples >= SLOWNESS_SAMPLES && self.median > 0.0 => {
                (e.latency / self.median).max(1.0)
            }
            _ => 1.0,
        }
    }

    /// Returns the endpoints at which so many requests failed lately that a retry is better sent to others. They need not
    /// be ejected: only a part of a pool may be.
    pub fn unreliable(&self) -> impl Iterator<Item = &VmId> {
        let endpoints = self.endpoints.iter();
        endpoints.filter_map(|(vm, endpoint)| endpoint.is_unreliable().then_some(vm))
    }

    /// Returns the number of endpoints that are ejected or on trial.
    pub fn ejected(&self) -> usize {
        self.endpoints
            .values()
            .filter(|e| e.ejected_until.is_some())
            .count()
    }

    /// Records an observation, and ejects the endpoint or ends its trial accordingly.
    pub fn record<R>(&mut self, now: Instant, vm: &VmId, observation: Observation, rng: &mut R)
    where
        R: Rng,
    {
        self.update_median(now);
        self.update_crashed(now, vm, observation);
        let median = self.median;
        let Some(endpoint) = self.endpoints.get_mut(vm) else {
            return;
        };
        endpoint.observe(now, observation);
        let is_outlier = endpoint.is_outlier(median);
        match endpoint.ejected_until {
            None if is_outlier => self.eject(now, vm, rng),
            Some(until) if now >= until => endpoint.update_trial(now, observation, median, rng),
            _ => (),
        }
    }

    /// Updates whether an endpoint that crashed may still be down.
    fn update_crashed(&mut self, now: Instant, vm: &VmId, observation: Observation) {
        match observation {
            Observation::Answered(_) | Observation::Checked(true) => {
                self.crashed.swap_remove(vm);
            }
            Observation::Failed | Observation::Checked(false) => {
                if let Some(at) = self.crashed.get_mut(vm) {
                    *at = now;
                }
            }
        }
    }

    /// Ejects an endpoint if the limits allow it.
    fn eject<R>(&mut self, now: Instant, vm: &VmId, rng: &mut R)
    where
        R: Rng,
    {
        if !self.has_room(now, vm) {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(vm) {
            endpoint.eject(now, rng);
            self.last_ejection = Some(now);
        }
    }

    fn has_room(&self, now: Instant, vm: &VmId) -> bool {
        let Some(endpoint) = self.endpoints.get(vm) else {
            return false;
        };
        let is_due = self
            .last_ejection
            .is_none_or(|last| now >= last + self.limits.interval);
        let same_domain: Vec<_> = self
            .endpoints
            .values()
            .filter(|e| e.domain == endpoint.domain)
            .collect();
        let out = same_domain
            .iter()
            .filter(|e| e.ejected_until.is_some())
            .count();
        is_due
            && self.ejected() < max_ejected(self.endpoints.len(), self.limits.pool)
            && out < max_ejected(same_domain.len(), self.limits.domain)
    }

    /// Updates the pool's median time to the first token, once a second.
    fn update_median(&mut self, now: Instant) {
        let fresh = self
            .median_updated
            .is_some_and(|at| now < at + Duration::from_secs(1));
        if fresh {
            return;
        }
        self.median_updated = Some(now);
        let mut times: Vec<_> = self
            .endpoints
            .values()
            .filter(|e| e.samples >= MIN_SAMPLES && e.ejected_until.is_none())
            .map(|e| e.latency)
            .collect();
        times.sort_by(f64::total_cmp);
        self.median = times.get(times.len() / 2).copied().unwrap_or(f64::MAX);
    }
}

impl Endpoint {
    fn health(&self, now: Instant) -> Health {
        match self.ejected_until {
            None => Health::In,
            Some(until) if now >= until => Health::Trial,
            Some(_) => Health::Out,
        }
    }

    fn observe(&mut self, now: Instant, observation: Observation) {
        match observation {
            Observation::Answered(time) => {
                self.failures = 0;
                self.paused_until = None;
                self.successes += 1;
                self.update_error_rate(0.0);
                self.update_latency(time.as_secs_f64());
            }
            Observation::Failed => {
                self.failures += 1;
                self.successes = 0;
                let pause = BASE_PAUSE.saturating_mul(1 << self.failures.min(16));
                self.paused_until = Some(now + pause.min(MAX_PAUSE));
                self.update_error_rate(1.0);
            }
            Observation::Checked(true) => self.failed_checks = 0,
            Observation::Checked(false) => self.failed_checks += 1,
        }
    }

    fn update_error_rate(&mut self, error: f64) {
        self.samples = self.samples.saturating_add(1);
        self.error_rate +=
            (error - self.error_rate) * EWMA_WEIGHT.max(1.0 / f64::from(self.samples));
    }

    fn update_latency(&mut self, time: f64) {
        self.latency += (time - self.latency) * EWMA_WEIGHT.max(1.0 / f64::from(self.samples));
    }

    fn is_outlier(&self, median: f64) -> bool {
        let failing = self.samples >= MIN_SAMPLES && self.error_rate > EJECT_ERROR_RATE;
        let slow = self.samples >= MIN_SAMPLES && self.latency > median * EJECT_SLOWNESS;
        self.failures >= EJECT_FAILURES || self.failed_checks >= EJECT_CHECKS || failing || slow
    }

    fn is_unreliable(&self) -> bool {
        self.samples >= UNRELIABLE_SAMPLES && self.error_rate > UNRELIABLE_ERROR_RATE
    }

    fn eject<R>(&mut self, now: Instant, rng: &mut R)
    where
        R: Rng,
    {
        if now >= self.measured_since + EJECTION_RESET {
            self.ejections = 0;
        }
        self.ejected_by_checks = self.failed_checks >= EJECT_CHECKS;
        let time = BASE_EJECTION
            .saturating_mul(1 << self.ejections.min(16))
            .min(MAX_EJECTION);
        // Routers eject an endpoint at the same time, and without jitter would also try it again at the same time.
        let jittered = time.mul_f64(rng.random_range(1.0..1.5));
        self.ejections += 1;
        self.ejected_until = Some(now + jittered);
        self.reset(now);
    }

    /// Ends the trial or ejects the endpoint again, depending on the observation.
    fn update_trial<R>(&mut self, now: Instant, observation: Observation, median: f64, rng: &mut R)
    where
        R: Rng,
    {
        let slow = matches!(observation, Observation::Answered(t) if t.as_secs_f64() > median * EJECT_SLOWNESS);
        if slow || observation == Observation::Failed {
            return self.eject(now, rng);
        }
        // A check does not show whether a slow or failing endpoint has recovered.
        let passed = self.ejected_by_checks && observation == Observation::Checked(true);
        if self.successes >= TRIAL_SUCCESSES || passed {
            self.ejected_until = None;
            self.reset(now);
        }
    }

    /// Discards all measurements.
    fn reset(&mut self, now: Instant) {
        self.failures = 0;
        self.failed_checks = 0;
        self.successes = 0;
        self.error_rate = 0.0;
        self.latency = 0.0;
        self.samples = 0;
        self.measured_since = now;
    }
}

/// Returns how many of `count` endpoints may be ejected: none of two, and at least one of three.
fn max_ejected(count: usize, share: f64) -> usize {
    match count {
        0..=2 => 0,
        _ => ((count as f64 * share) as usize).max(1),
    }
}
