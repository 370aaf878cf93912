//! A router's view of one endpoint: its own requests there, the estimated requests of other routers, and the expected
//! time to the first token.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::decide::choose::Criteria;
use crate::decide::choose::Load;
use crate::decide::cold::ColdLimit;
use crate::decide::concurrency::EndpointLimit;
use crate::decide::health::Health;
use crate::decide::prefill::Prefill;
use crate::decide::prefill::Prompt;
use crate::decide::prefix::Match;
use crate::decide::recent::Usage;
use crate::ids::DomainId;
use crate::ids::ModelId;

/// The weight of the newest report in the estimate of other routers' load. All routers get the same report, and routers
/// that rely on it alone all choose the same endpoint until the next one.
const REPORT_WEIGHT: f64 = 0.1;

/// The age at which a report is disregarded. An endpoint that was full when its reports stopped would otherwise get no
/// more requests, though it may be idle; its answers show its state.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);

/// How many uncached blocks count as much as a full endpoint. At 16 tokens a block and a prefill of 10,000 tokens a
/// second these take 0.4 s, about what a full batch adds to the time to the first token.
const FULL_LOAD_BLOCKS: f64 = 256.0;

/// The penalty of an endpoint in another failure domain, as a share of a full endpoint: each token takes a millisecond
/// or two longer.
const REMOTE_PENALTY: f64 = 0.05;

/// The age of a load report up to which the correction by the router's own requests is exact.
const MAX_HISTORY: Duration = Duration::from_secs(5);

/// How many changes in the number of own requests are kept for each endpoint.
const MAX_CHANGES: usize = 64;

/// The weight of the prefill time of a shared prompt part that would be computed again: it delays all later prompts and
/// evicts another part. Without this weight a part that many prompts share is computed by one engine after another.
const RECOMPUTE_FACTOR: f64 = 6.0;

/// What each running request adds to the time to the next first token: each step of a full batch takes a millisecond
/// longer.
const RUNNING_DELAY: Duration = Duration::from_millis(1);

/// What another failure domain adds to the time to the first token.
const REMOTE_DELAY: Duration = Duration::from_millis(4);

/// The state of one endpoint that choices depend on.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) domain: DomainId,
    pub(super) models: Vec<ModelId>,
    pub(super) limit: u32,
    pub(super) leaving: bool,
    pub(super) own_limit: EndpointLimit,
    other_load: f64,
    /// When the last load report arrived.
    last_report: Option<Instant>,
    own_changes: VecDeque<(Instant, u32)>,
    pub(super) prefill: Prefill,
    /// The limit while the endpoint is cold; may have expired.
    pub(super) cold: Option<ColdLimit>,
}

impl Endpoint {
    /// Creates an endpoint without requests.
    pub(super) fn new(domain: &DomainId, limit: u32) -> Self {
        Self {
            domain: domain.clone(),
            models: Vec::new(),
            limit,
            leaving: false,
            own_limit: EndpointLimit::new(limit),
            other_load: 0.0,
            last_report: None,
            own_changes: VecDeque::new(),
            prefill: Prefill::default(),
            cold: None,
        }
    }

    /// Records a load report, which also counts this router's own requests at the time it was measured.
    pub(super) fn report(&mut self, now: Instant, load: Load) {
        let own = self.own_active_at(load.measured);
        let others = f64::from((load.running + load.waiting).saturating_sub(own));
        let weight = if self.has_recent_report(now) {
            REPORT_WEIGHT
        } else {
            1.0
        };
        self.other_load += (others - self.other_load) * weight;
        self.last_report = Some(now);
        self.own_limit.report(now, load);
    }

    /// Sets until when the endpoint is cold (`None` if it is warm) and this router's share of its rate until then.
    pub(super) fn set_cold(&mut self, until: Option<Instant>, share: u32) {
        match (&mut self.cold, until) {
            (Some(cold), Some(until)) => cold.update(until, share),
            (cold, until) => *cold = until.map(|until| ColdLimit::new(until, share)),
        }
    }

    /// Returns the expected time to a prompt's first token.
    pub(super) fn first_token_time(
        &self,
        now: Instant,
        prompt: &Prompt,
        domain: &DomainId,
        home: bool,
    ) -> Duration {
        let prefill = &self.prefill;
        let unread = prefill.uncached_tokens(now, prompt, home);
        let recomputed = prefill
            .time(unread - prompt.own_tokens)
            .mul_f64(RECOMPUTE_FACTOR);
        let running = RUNNING_DELAY * self.own_limit.active();
        let remote = match self.domain == *domain {
            true => Duration::ZERO,
            false => REMOTE_DELAY,
        };
        prefill.wait(now) + prefill.time(prompt.own_tokens) + recomputed + running + remote
    }

    pub(super) fn load(&self, now: Instant) -> f64 {
        let others = if self.has_recent_report(now) {
            self.other_load
        } else {
            0.0
        };
        others + f64::from(self.own_limit.active())
    }

    fn has_recent_report(&self, now: Instant) -> bool {
        self.last_report.is_some_and(|at| now < at + REPORT_MAX_AGE)
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold.as_ref().is_some_and(|cold| cold.is_cold(now))
    }

    /// Returns whether the endpoint takes one more request; on trial, one at a time from this router.
    pub(super) fn admits(&self, now: Instant, health: Health, usage: Usage) -> bool {
        let cold = self.cold.as_ref().filter(|cold| cold.is_cold(now));
        if cold.is_some_and(|cold| !cold.admits(now)) {
            return false;
        }
        match health {
            Health::Out => false,
            Health::Trial => self.own_limit.active() == 0,
            Health::In => {
                self.load(now) < f64::from(self.limit)
                    && (self.own_limit.has_room() || usage == Usage::Light)
            }
        }
    }

    /// Returns the score of a choice: the lower the better, 1 for a full endpoint.
    pub(super) fn score(
        &self,
        now: Instant,
        criteria: &Criteria<'_>,
        found: Option<&Match>,
        slowness: f64,
    ) -> f64 {
        let load = (self.load(now) + 1.0) / f64::from(self.limit.max(1));
        let cached = found.map_or(0.0, |m| m.blocks as f64 * m.confidence);
        let missing = (criteria.prefix.len() as f64 - cached) / FULL_LOAD_BLOCKS;
        let remote = if self.domain == *criteria.domain {
            0.0
        } else {
            REMOTE_PENALTY
        };
        (load + missing) * slowness + remote
    }

    pub(super) fn record_change(&mut self, now: Instant) {
        self.own_changes.push_back((now, self.own_limit.active()));
        let old = now.checked_sub(MAX_HISTORY);
        while self.own_changes.len() > MAX_CHANGES
            || self
                .own_changes
                .front()
                .is_some_and(|(at, _)| old.is_some_and(|old| *at < old))
        {
            self.own_changes.pop_front();
        }
    }

    /// Returns how many of this router's requests were in progress at a time.
    fn own_active_at(&self, measured: Instant) -> u32 {
        self.own_changes
            .iter()
            .rev()
            .find(|(at, _)| *at <= measured)
            .map_or_else(|| self.own_active_before(), |(_, own)| *own)
    }

    /// Returns the number of own requests before the changes that are kept, as far as it is known.
    fn own_active_before(&self) -> u32 {
        self.own_changes
            .front()
            .map_or(self.own_limit.active(), |(_, own)| *own)
    }
}
