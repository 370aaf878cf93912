//! One endpoint as a router sees it: what it has in progress there, what others are thought to have, and how soon it would
//! answer.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::decide::choose::Criteria;
use crate::decide::choose::Load;
use crate::decide::cold::Cold;
use crate::decide::concurrency::EndpointLimit;
use crate::decide::health::Health;
use crate::decide::prefill::Prefill;
use crate::decide::prefill::Prompt;
use crate::decide::prefix::Match;
use crate::decide::recent::Usage;
use crate::ids::DomainId;
use crate::ids::ModelId;

/// The weight of the newest report in what others are thought to run. All routers get the same report; those that take it
/// at its word go to the same endpoint until the next one.
const NEWEST: f64 = 0.1;

/// After so long a report counts no more. An endpoint that was full when its reports ceased would get nothing ever after,
/// though it may be idle; its own answers tell how it is.
const STALE: Duration = Duration::from_secs(10);

/// How many blocks to compute count as much as a full endpoint. At 16 tokens a block and a prefill of 10,000 tokens a
/// second these take 0.4 s, about what a full batch adds to the time to the first token.
const FULL_BLOCKS: f64 = 256.0;

/// What another failure domain counts, of a full endpoint: a millisecond or two on each token's way.
const REMOTE: f64 = 0.05;

/// How long ago a load report may have been measured for the correction by own requests to be exact.
const HISTORY: Duration = Duration::from_secs(5);

/// How many changes of the own count are remembered for each endpoint.
const CHANGES: usize = 64;

/// How much more than its own time a shared part counts where it would be read again: that delays all prompts that come
/// after it, and pushes another part out. Without this a part that many ask for is read by one engine after the other.
const AGAIN: f64 = 6.0;

/// What a request that an engine runs already adds to the time to the next one's first token: each step of a full batch
/// takes a millisecond longer.
const RUNNING: Duration = Duration::from_millis(1);

/// What another failure domain adds to that time.
const FARTHER: Duration = Duration::from_millis(4);

/// One endpoint, as far as it matters to a choice.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) domain: DomainId,
    pub(super) models: Vec<ModelId>,
    pub(super) limit: u32,
    pub(super) leaving: bool,
    pub(super) own: EndpointLimit,
    others: f64,
    /// When it last reported.
    told: Option<Instant>,
    changes: VecDeque<(Instant, u32)>,
    pub(super) prefill: Prefill,
    /// Set where it was cold of late.
    pub(super) cold: Option<Cold>,
}

impl Endpoint {
    /// Makes one that has no requests.
    pub(super) fn new(domain: &DomainId, limit: u32) -> Self {
        Self {
            domain: domain.clone(),
            models: Vec::new(),
            limit,
            leaving: false,
            own: EndpointLimit::new(limit),
            others: 0.0,
            told: None,
            changes: VecDeque::new(),
            prefill: Prefill::default(),
            cold: None,
        }
    }

    /// Takes in its load report, which counted this router's own requests of that time too.
    pub(super) fn report(&mut self, now: Instant, load: Load) {
        let own = self.own_at(load.measured);
        let others = f64::from((load.running + load.waiting).saturating_sub(own));
        let weight = if self.is_fresh(now) { NEWEST } else { 1.0 };
        self.others += (others - self.others) * weight;
        self.told = Some(now);
        self.own.report(now, load);
    }

    /// Takes over until when it is cold, nothing where it is warm, and this router's share of what it bears then.
    pub(super) fn cool(&mut self, until: Option<Instant>, share: u32) {
        match (&mut self.cold, until) {
            (Some(cold), Some(until)) => cold.change(until, share),
            (cold, until) => *cold = until.map(|until| Cold::new(until, share)),
        }
    }

    /// Returns how long a prompt's first token is expected to take there.
    pub(super) fn first_token(
        &self,
        now: Instant,
        prompt: &Prompt,
        domain: &DomainId,
        home: bool,
    ) -> Duration {
        let prefill = &self.prefill;
        let unread = prefill.uncached_tokens(now, prompt, home);
        let again = prefill.time(unread - prompt.own_tokens).mul_f64(AGAIN);
        let running = RUNNING * self.own.active();
        let way = match self.domain == *domain {
            true => Duration::ZERO,
            false => FARTHER,
        };
        prefill.wait(now) + prefill.time(prompt.own_tokens) + again + running + way
    }

    pub(super) fn load(&self, now: Instant) -> f64 {
        let others = if self.is_fresh(now) { self.others } else { 0.0 };
        others + f64::from(self.own.active())
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.told.is_some_and(|at| now < at + STALE)
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold.as_ref().is_some_and(|cold| cold.is_cold(now))
    }

    /// Returns whether it takes one more; on trial, one at a time from this router.
    pub(super) fn admits(&self, now: Instant, health: Health, usage: Usage) -> bool {
        let cold = self.cold.as_ref().filter(|cold| cold.is_cold(now));
        if cold.is_some_and(|cold| !cold.admits(now)) {
            return false;
        }
        match health {
            Health::Out => false,
            Health::Trial => self.own.active() == 0,
            Health::In => {
                self.load(now) < f64::from(self.limit)
                    && (self.own.has_room() || usage == Usage::Light)
            }
        }
    }

    /// Returns how bad a choice it is, 1 being a full endpoint.
    pub(super) fn score(
        &self,
        now: Instant,
        wish: &Criteria<'_>,
        found: Option<&Match>,
        slow: f64,
    ) -> f64 {
        let load = (self.load(now) + 1.0) / f64::from(self.limit.max(1));
        let cached = found.map_or(0.0, |m| m.blocks as f64 * m.confidence);
        let missing = (wish.prefix.len() as f64 - cached) / FULL_BLOCKS;
        let remote = if self.domain == *wish.domain {
            0.0
        } else {
            REMOTE
        };
        (load + missing) * slow + remote
    }

    pub(super) fn note(&mut self, now: Instant) {
        self.changes.push_back((now, self.own.active()));
        let old = now.checked_sub(HISTORY);
        while self.changes.len() > CHANGES
            || self
                .changes
                .front()
                .is_some_and(|(at, _)| old.is_some_and(|old| *at < old))
        {
            self.changes.pop_front();
        }
    }

    /// Returns how many of this router's requests it had then.
    fn own_at(&self, then: Instant) -> u32 {
        self.changes
            .iter()
            .rev()
            .find(|(at, _)| *at <= then)
            .map_or_else(|| self.own_before(), |(_, own)| *own)
    }

    /// Returns the own count before the remembered changes, as far as it can be told.
    fn own_before(&self) -> u32 {
        self.changes
            .front()
            .map_or(self.own.active(), |(_, own)| *own)
    }
}
