//! Estimates when an engine returns a prompt's first token.
//!
//! Long prompts delay short ones: an engine processes prompts one after another, and a prompt of fifty thousand tokens
//! blocks those behind it for more than half a second. By the number of requests in progress such an engine looks no
//! busier than any other, so that short prompts, which are nine in ten, are delayed behind it. Here each dispatched
//! prompt advances the time at which the engine is expected to finish its backlog, and a prompt goes to the engine with
//! the earliest expected first token. Shared prefixes that an engine has cached cost nothing there. This groups
//! requests with a common prefix on one engine, until the load there moves them to others.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Prefill time of a prompt token, in nanoseconds, until an engine's own speed is known. Engines of two deployments
/// process 85 to 100 tokens per millisecond.
const TOKEN_NANOS: f64 = 11_000.0;

/// Prefixes remembered as cached by one engine: its cache of some 600,000 tokens holds no more prefixes of a
/// few hundred tokens or longer.
const MAX_PREFIXES: usize = 1024;

/// How long a prefix is assumed to stay in an engine's cache after its last use.
const CACHE_TTL: Duration = Duration::from_secs(60);

/// Fraction of a first token's lateness that is added to the engine's backlog. Unannounced prompts of other routers
/// delay the next prompt as they delayed this one, except for what is processed in the meantime.
const LATENESS_WEIGHT: f64 = 0.5;

/// Weight of the newest measurement in the estimate of an engine's speed.
const SPEED_WEIGHT: f64 = 0.1;

/// Minimum number of uncached tokens for a first token to be used as a measurement of speed.
const MIN_SAMPLE_TOKENS: u64 = 1000;

/// Bounds of an engine's estimated slowness, relative to the default speed.
const MAX_SLOWNESS: f64 = 4.0;
const MIN_SLOWNESS: f64 = 0.7;

/// Size of a prompt and identity of its shared prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the parts that form the prefix shared with other requests.
    pub shared: u64,
    /// Number of tokens in the shared prefix.
    pub shared_tokens: u64,
    /// Number of tokens after the shared prefix.
    pub own_tokens: u64,
}

/// Prefill backlog and cached prefixes of one engine.
#[derive(Clone, Debug, Default)]
pub struct Prefill {
    /// When the engine is expected to finish its backlog.
    busy_until: Option<Instant>,
    /// Prefill time relative to the default speed.
    slowness: Option<f64>,
    cached: IndexMap<u64, Instant>,
}

impl Prefill {
    /// Returns how many tokens of a prompt are not cached; `home` marks a home of the shared prefix, where the prefix
    /// is assumed to be cached even if nobody reported it.
    pub fn uncached_tokens(&self, now: Instant, prompt: &Prompt, home: bool) -> u64 {
        let read = self.cached.get(&prompt.shared);
        match home || read.is_some_and(|at| now < *at + CACHE_TTL) {
            true => prompt.own_tokens,
            false => prompt.own_tokens + prompt.shared_tokens,
        }
    }

    /// Returns the prefill time of `tokens` tokens.
    pub fn time(&self, tokens: u64) -> Duration {
        Duration::from_nanos((tokens as f64 * TOKEN_NANOS * self.slowness()) as u64)
    }

    /// Returns the time until the engine finishes its backlog.
    pub fn wait(&self, now: Instant) -> Duration {
        self.busy_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records a prompt with `tokens` uncached tokens that was sent, and returns when its first token is expected.
    pub fn record_sent(&mut self, now: Instant, shared: u64, tokens: u64) -> Instant {
        let until = self.busy_until.map_or(now, |until| until.max(now)) + self.time(tokens);
        self.busy_until = Some(until);
        self.cached.shift_remove(&shared);
        self.cached.insert(shared, now);
        if self.cached.len() > MAX_PREFIXES {
            self.cached.shift_remove_index(0);
        }
        until
    }

    /// Updates the estimates from a first token that arrived at `now`, of a prompt with `tokens` uncached tokens sent
    /// at `sent`.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        sent: Instant,
        expected: Instant,
        tokens: u64,
    ) {
        let lateness = now
            .saturating_duration_since(expected)
            .mul_f64(LATENESS_WEIGHT);
        if !lateness.is_zero() {
            self.busy_until = Some(self.busy_until.map_or(now, |until| until.max(now)) + lateness);
        }
        let predicted = expected.saturating_duration_since(sent).as_secs_f64();
        if tokens >= MIN_SAMPLE_TOKENS && predicted > 0.0 {
            let ratio = now.saturating_duration_since(sent).as_secs_f64() / predicted;
            let slowness = self.slowness();
            let observed = (slowness * ratio).clamp(MIN_SLOWNESS, MAX_SLOWNESS);
            self.slowness = Some(slowness + (observed - slowness) * SPEED_WEIGHT);
        }
    }

    fn slowness(&self) -> f64 {
        self.slowness.unwrap_or(1.0)
    }
}
