//! How long an engine will take until a prompt's first token.
//!
//! Answers long prompts among short ones: an engine reads prompts one after another, and one of fifty thousand tokens keeps
//! those behind it waiting for more than half a second. By the number of requests in progress such an engine looks as good
//! as any other, so that short prompts, which are nine in ten, are late behind it. Here each dispatched prompt moves on the
//! time at which the engine will be through with what it was sent, and a prompt goes where its first token is expected
//! first. Parts of prompts that an engine has read already cost nothing there; that pulls requests that share a part
//! together, and a loaded engine pushes them apart.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// What an engine takes for a token of a prompt, in nanoseconds, before it is known better: 85 to 100 tokens a millisecond
/// are what the engines of two deployments read.
const TOKEN_NANOS: f64 = 11_000.0;

/// How many parts are remembered as read by one engine: its memory of some 600,000 tokens holds no more of a few hundred
/// tokens or more.
const MAX_PREFIXES: usize = 1024;

/// How long a part is thought to stay in an engine's memory after its last use.
const CACHE_TTL: Duration = Duration::from_secs(60);

/// How much of a difference between expectation and outcome moves the engine's own time: others' prompts, of which nobody
/// told, delay the next one as they delayed this one, but for what is read meanwhile.
const LATENESS_WEIGHT: f64 = 0.5;

/// The weight of the newest outcome in what is thought of an engine's speed.
const SPEED_WEIGHT: f64 = 0.1;

/// How many tokens must have been read for an outcome to tell of an engine's speed.
const MIN_SAMPLE_TOKENS: u64 = 1000;

/// How much slower or faster than usual an engine is thought to be at most.
const MAX_SLOWNESS: f64 = 4.0;
const MIN_SLOWNESS: f64 = 0.7;

/// A prompt, as far as it matters here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Names all the parts of it that other requests share.
    pub shared: u64,
    /// How many tokens these have.
    pub shared_tokens: u64,
    /// How many tokens the rest has.
    pub own_tokens: u64,
}

/// What one engine has to read, and has read.
#[derive(Clone, Debug, Default)]
pub struct Prefill {
    /// When it will be through with all that it was sent.
    busy_until: Option<Instant>,
    /// How long it takes, against the usual.
    slowness: Option<f64>,
    cached: IndexMap<u64, Instant>,
}

impl Prefill {
    /// Returns how many tokens of a prompt are still to be read there; `home` tells that the shared parts are thought to be
    /// there even if nobody told.
    pub fn uncached_tokens(&self, now: Instant, prompt: &Prompt, home: bool) -> u64 {
        let read = self.cached.get(&prompt.shared);
        match home || read.is_some_and(|at| now < *at + CACHE_TTL) {
            true => prompt.own_tokens,
            false => prompt.own_tokens + prompt.shared_tokens,
        }
    }

    /// Returns how long it takes for so many tokens.
    pub fn time(&self, tokens: u64) -> Duration {
        Duration::from_nanos((tokens as f64 * TOKEN_NANOS * self.slowness()) as u64)
    }

    /// Returns how long it is busy with what it was sent.
    pub fn wait(&self, now: Instant) -> Duration {
        self.busy_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Counts a prompt that was sent, and returns when its first token is expected.
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

    /// Learns from a first token that came now, of a prompt of so many unread tokens that was sent then.
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
