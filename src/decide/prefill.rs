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
const TOKEN: f64 = 11_000.0;

/// How many parts are remembered as read by one engine: its memory of some 600,000 tokens holds no more of a few hundred
/// tokens or more.
const PARTS: usize = 1024;

/// How long a part is thought to stay in an engine's memory after its last use.
const KEPT: Duration = Duration::from_secs(60);

/// How much of a difference between expectation and outcome moves the engine's own time: others' prompts, of which nobody
/// told, delay the next one as they delayed this one, but for what is read meanwhile.
const SURPRISE: f64 = 0.5;

/// The weight of the newest outcome in what is thought of an engine's speed.
const NEWEST: f64 = 0.1;

/// How many tokens must have been read for an outcome to tell of an engine's speed.
const TELLING: u64 = 1000;

/// How much slower or faster than usual an engine is thought to be at most.
const SLOWEST: f64 = 4.0;
const FASTEST: f64 = 0.7;

/// A prompt, as far as it matters here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Names all the parts of it that other requests share.
    pub shared: u64,
    /// How many tokens these have.
    pub common: u64,
    /// How many tokens the rest has.
    pub own: u64,
}

/// What one engine has to read, and has read.
#[derive(Clone, Debug, Default)]
pub struct Prefill {
    /// When it will be through with all that it was sent.
    until: Option<Instant>,
    /// How long it takes, against the usual.
    slowness: Option<f64>,
    parts: IndexMap<u64, Instant>,
}

impl Prefill {
    /// Returns how many tokens of a prompt are still to be read there; `home` tells that the shared parts are thought to be
    /// there even if nobody told.
    pub fn unread(&self, now: Instant, prompt: &Prompt, home: bool) -> u64 {
        let read = self.parts.get(&prompt.shared);
        match home || read.is_some_and(|at| now < *at + KEPT) {
            true => prompt.own,
            false => prompt.own + prompt.common,
        }
    }

    /// Returns how long it takes for so many tokens.
    pub fn time(&self, tokens: u64) -> Duration {
        Duration::from_nanos((tokens as f64 * TOKEN * self.slowness()) as u64)
    }

    /// Returns how long it is busy with what it was sent.
    pub fn wait(&self, now: Instant) -> Duration {
        self.until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Counts a prompt that was sent, and returns when its first token is expected.
    pub fn send(&mut self, now: Instant, shared: u64, tokens: u64) -> Instant {
        let until = self.until.map_or(now, |until| until.max(now)) + self.time(tokens);
        self.until = Some(until);
        self.parts.shift_remove(&shared);
        self.parts.insert(shared, now);
        if self.parts.len() > PARTS {
            self.parts.shift_remove_index(0);
        }
        until
    }

    /// Learns from a first token that came now, of a prompt of so many unread tokens that was sent then.
    pub fn came(&mut self, now: Instant, sent: Instant, expected: Instant, tokens: u64) {
        let late = now.saturating_duration_since(expected).mul_f64(SURPRISE);
        if !late.is_zero() {
            self.until = Some(self.until.map_or(now, |until| until.max(now)) + late);
        }
        let thought = expected.saturating_duration_since(sent).as_secs_f64();
        if tokens >= TELLING && thought > 0.0 {
            let ratio = now.saturating_duration_since(sent).as_secs_f64() / thought;
            let slowness = self.slowness();
            let seen = (slowness * ratio).clamp(FASTEST, SLOWEST);
            self.slowness = Some(slowness + (seen - slowness) * NEWEST);
        }
    }

    fn slowness(&self) -> f64 {
        self.slowness.unwrap_or(1.0)
    }
}
