//! A model engine, as far as decisions can see one: slots, a queue, a prefix cache, faults.

use std::collections::VecDeque;

use indexmap::IndexMap;
use jasmineridge::BlockHash;
use jasmineridge::CacheEvent;

/// Slots of its batch. The routers' setting says twice as many, so that they must find out.
pub(crate) const SLOTS: usize = 16;

/// Seconds to start a request, besides its prefill.
const START: f64 = 0.05;

/// Seconds to compute one block of a prompt: 16 tokens at 10,000 a second.
const BLOCK: f64 = 0.0016;

/// Seconds for each token.
const TOKEN: f64 = 0.02;

/// Blocks that its cache holds.
const CACHE: usize = 6000;

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) running: Vec<usize>,
    pub(crate) waiting: VecDeque<usize>,
    pub(crate) slow: f64,
    pub(crate) down: bool,
    pub(crate) flap: bool,
    cache: IndexMap<u64, Vec<BlockHash>>,
    event: CacheEvent,
}

impl Engine {
    pub(crate) fn new() -> Self {
        Self {
            running: Vec::new(),
            waiting: VecDeque::new(),
            slow: 1.0,
            down: false,
            flap: false,
            cache: IndexMap::new(),
            event: CacheEvent::default(),
        }
    }

    pub(crate) fn cached(&self, session: u64, prompt: usize) -> usize {
        self.cache.get(&session).map_or(0, |b| b.len().min(prompt))
    }

    /// Returns the seconds to the first token and from there to the end, and caches the prompt.
    pub(crate) fn run(&mut self, session: u64, prompt: &[BlockHash], tokens: u32) -> (f64, f64) {
        let missing = prompt.len() - self.cached(session, prompt.len());
        self.store(session, prompt);
        let first = START + missing as f64 * BLOCK;
        (first * self.slow, f64::from(tokens) * TOKEN * self.slow)
    }

    fn store(&mut self, session: u64, prompt: &[BlockHash]) {
        if prompt.is_empty() {
            return;
        }
        self.cache.shift_remove(&session);
        self.cache.insert(session, prompt.to_vec());
        self.event.stored.extend(prompt);
        while self.cache.values().map(Vec::len).sum::<usize>() > CACHE {
            let (_, old) = self.cache.shift_remove_index(0).expect("it is too large");
            self.event.removed.extend(old);
        }
    }

    /// Takes what changed in the cache since the last time.
    pub(crate) fn event(&mut self) -> CacheEvent {
        let next = CacheEvent {
            sequence: self.event.sequence + 1,
            ..CacheEvent::default()
        };
        let mut event = std::mem::replace(&mut self.event, next);
        event.sequence += 1;
        event
    }
}

/// Returns the time that a request takes on an idle engine with nothing cached.
pub(crate) fn nominal(blocks: usize, tokens: u32) -> f64 {
    START + blocks as f64 * BLOCK + f64::from(tokens) * TOKEN
}
