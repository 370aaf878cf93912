//! Simulated model engine with batch slots, a queue, a prefix cache and faults.

use std::collections::VecDeque;

use indexmap::IndexMap;
use jasmineridge::BlockHash;
use jasmineridge::CacheEvent;

/// Slots of an engine's batch. Routers are configured with twice as many and have to discover the real limit.
pub(crate) const SLOTS: usize = 16;

/// Time to start a request, excluding prefill.
const START_SECS: f64 = 0.05;

/// Prefill time of one block: 16 tokens at 10,000 tokens per second.
const BLOCK_SECS: f64 = 0.0016;

/// Time to generate one token.
const TOKEN_SECS: f64 = 0.02;

/// Capacity of the prefix cache.
const CACHE_BLOCKS: usize = 6000;

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) running: Vec<usize>,
    pub(crate) waiting: VecDeque<usize>,
    pub(crate) slowdown: f64,
    pub(crate) down: bool,
    pub(crate) flapping: bool,
    cache: IndexMap<u64, Vec<BlockHash>>,
    event: CacheEvent,
}

impl Engine {
    pub(crate) fn new() -> Self {
        Self {
            running: Vec::new(),
            waiting: VecDeque::new(),
            slowdown: 1.0,
            down: false,
            flapping: false,
            cache: IndexMap::new(),
            event: CacheEvent::default(),
        }
    }

    pub(crate) fn cached(&self, session: u64, prompt: usize) -> usize {
        self.cache.get(&session).map_or(0, |b| b.len().min(prompt))
    }

    /// Caches the prompt. Returns the seconds to the first token, and from the first token to the end.
    pub(crate) fn start(&mut self, session: u64, prompt: &[BlockHash], tokens: u32) -> (f64, f64) {
        let uncached = prompt.len() - self.cached(session, prompt.len());
        self.store(session, prompt);
        let first = START_SECS + uncached as f64 * BLOCK_SECS;
        (
            first * self.slowdown,
            f64::from(tokens) * TOKEN_SECS * self.slowdown,
        )
    }

    fn store(&mut self, session: u64, prompt: &[BlockHash]) {
        if prompt.is_empty() {
            return;
        }
        self.cache.shift_remove(&session);
        self.cache.insert(session, prompt.to_vec());
        self.event.stored.extend(prompt);
        while self.cache.values().map(Vec::len).sum::<usize>() > CACHE_BLOCKS {
            let (_, old) = self.cache.shift_remove_index(0).expect("it is too large");
            self.event.removed.extend(old);
        }
    }

    /// Returns the changes of the cache since the previous call.
    pub(crate) fn take_event(&mut self) -> CacheEvent {
        let next = CacheEvent {
            sequence: self.event.sequence + 1,
            ..CacheEvent::default()
        };
        let mut event = std::mem::replace(&mut self.event, next);
        event.sequence += 1;
        event
    }
}

/// Returns the time that a request takes on an idle engine with an empty cache.
pub(crate) fn nominal_secs(blocks: usize, tokens: u32) -> f64 {
    START_SECS + blocks as f64 * BLOCK_SECS + f64::from(tokens) * TOKEN_SECS
}
