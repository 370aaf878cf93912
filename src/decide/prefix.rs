//! Which endpoint has which prompt prefix cached.
//!
//! Answers conversations and shared instructions, whose prompts begin alike: an endpoint that has the prefix cached
//! starts answering without computing it again. Without it each endpoint computes every prefix, and each cache holds
//! what all the others hold. What is known is a guess: events come late and with gaps, and caches evict in between. So
//! each entry bears the number of gaps that its endpoint's events had when it was learnt, counts half for each gap
//! since, and goes when an answer shows that less was cached than it said.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::hash::BuildHasherDefault;

use indexmap::IndexMap;

use crate::decide::hasher::FastHasher;
use crate::ids::VmId;
use crate::prompt::BlockHash;

/// How many blocks are remembered. At about 120 bytes each they take 48 MB of a router's 256, and hold the hottest ten
/// thousand tokens or so of each of 640 conversations' worth of blocks.
const MEMORY: usize = 400_000;

/// How many endpoints are remembered for one block: more replicas than that need not be told apart.
const HOLDERS: usize = 8;

/// What an entry counts for each gap in its endpoint's events since it was learnt. A gap hides evictions as often as
/// stores.
const KEPT: f64 = 0.8;

/// After so many gaps an entry is worth next to nothing.
const GAPS: u32 = 10;

/// How many shorter matches are looked at, each half as long as the one before.
const SHORTER: u32 = 4;

/// What an endpoint says that changed in its cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvent {
    /// Its number among the endpoint's events, counted from 1 at each start of the endpoint.
    pub sequence: u64,
    /// What it has cached since.
    pub stored: Vec<BlockHash>,
    /// What it has evicted since.
    pub removed: Vec<BlockHash>,
}

/// What an endpoint is thought to have of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Match {
    /// The endpoint.
    pub endpoint: VmId,
    /// How many leading blocks.
    pub blocks: usize,
    /// How far that is believed, from 0 to 1.
    pub trust: f64,
}

/// One endpoint, as one life of its cache knows it: a restart makes another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Slot(u32);

#[derive(Clone, Copy, Debug)]
struct Holder {
    slot: Slot,
    gaps: u32,
}

#[derive(Debug)]
struct Source {
    vm: VmId,
    sequence: u64,
    gaps: u32,
    /// Answers in a row that had less cached than was thought.
    doubts: u32,
}

#[derive(Debug, Default)]
struct Entry {
    holders: Vec<Holder>,
    /// Whether it was learnt again or matched since eviction last came by.
    used: bool,
}

/// Blocks and the endpoints that are thought to have them cached.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    blocks: IndexMap<BlockHash, Entry, BuildHasherDefault<FastHasher>>,
    order: VecDeque<BlockHash>,
    slots: IndexMap<VmId, Slot, BuildHasherDefault<FastHasher>>,
    sources: IndexMap<Slot, Source, BuildHasherDefault<FastHasher>>,
    next: u32,
}

impl PrefixIndex {
    /// Makes an index that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many blocks are remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Notes that an endpoint was just given a prompt, which it will have cached.
    pub fn learn(&mut self, endpoint: &VmId, prompt: &[BlockHash]) {
        let holder = self.holder(endpoint);
        // From the last, so that memory runs out of the ends of prompts before their beginnings.
        for block in prompt.iter().rev() {
            self.learn_block(holder, *block);
        }
    }

    /// Notes that an endpoint has these blocks no longer.
    pub fn forget(&mut self, endpoint: &VmId, blocks: &[BlockHash]) {
        let Some(slot) = self.slots.get(endpoint).copied() else {
            return;
        };
        for block in blocks {
            if let Some(entry) = self.blocks.get_mut(block) {
                entry.holders.retain(|h| h.slot != slot);
            }
        }
    }

    /// Takes in an endpoint's event.
    pub fn event(&mut self, endpoint: &VmId, event: &CacheEvent) {
        if event.sequence <= 1 {
            // The endpoint started anew, with nothing cached.
            self.remove(endpoint);
        }
        let slot = self.holder(endpoint).slot;
        let Some(source) = self.sources.get_mut(&slot) else {
            return;
        };
        if event.sequence > source.sequence + 1 {
            source.gaps += 1;
        }
        let late = event.sequence <= source.sequence;
        source.sequence = source.sequence.max(event.sequence);
        self.forget(endpoint, &event.removed);
        // What a late one says was stored may have been evicted by one that came before it.
        if !late {
            self.learn(endpoint, &event.stored);
        }
    }

    /// Takes in how many leading blocks of a prompt an endpoint had cached when it ran it.
    ///
    /// Fewer than thought means that it evicted them unseen. What it ran it has cached again, but an endpoint that has
    /// less than thought time after time caches less than others, or nothing.
    pub fn served(&mut self, endpoint: &VmId, prompt: &[BlockHash], thought: usize, cached: usize) {
        self.learn(endpoint, prompt);
        let Some(source) = self.source(endpoint) else {
            return;
        };
        match thought.cmp(&cached) {
            Ordering::Greater => source.doubts += 1,
            _ => source.doubts = 0,
        }
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, endpoint: &VmId) {
        if let Some(slot) = self.slots.swap_remove(endpoint) {
            self.sources.swap_remove(&slot);
        }
    }

    /// Returns what endpoints have of a prompt.
    ///
    /// It looks at about as many blocks as the logarithm of the prompt's length: whoever has a block has most likely all
    /// before it, as caches evict ends first. An endpoint that has less than the longest match is credited with the next
    /// half, quarter and so on of it.
    pub fn matches(&self, prompt: &[BlockHash]) -> Vec<Match> {
        let mut found: Vec<Match> = Vec::new();
        let longest = prompt.partition_point(|block| self.is_held(block));
        for depth in (0..=SHORTER).map(|half| longest >> half) {
            self.add_holders(&mut found, prompt, depth);
        }
        found
    }

    fn add_holders(&self, found: &mut Vec<Match>, prompt: &[BlockHash], depth: usize) {
        let last = depth.checked_sub(1).map(|last| prompt[last]);
        let Some(entry) = last.and_then(|block| self.blocks.get(&block)) else {
            return;
        };
        for holder in &entry.holders {
            let Some(source) = self.sources.get(&holder.slot) else {
                continue;
            };
            let forgotten = holder.since(source) >= GAPS;
            if !forgotten && found.iter().all(|m| m.endpoint != source.vm) {
                found.push(Match {
                    endpoint: source.vm.clone(),
                    blocks: depth,
                    trust: KEPT.powi((holder.since(source) + source.doubts) as i32),
                });
            }
        }
    }

    fn is_held(&self, block: &BlockHash) -> bool {
        let entry = self.blocks.get(block);
        entry.is_some_and(|entry| !entry.holders.is_empty())
    }

    fn source(&mut self, endpoint: &VmId) -> Option<&mut Source> {
        let slot = self.slots.get(endpoint)?;
        self.sources.get_mut(slot)
    }

    fn holder(&mut self, endpoint: &VmId) -> Holder {
        if let Some(slot) = self.slots.get(endpoint).copied() {
            let gaps = self.sources.get(&slot).map_or(0, |s| s.gaps);
            return Holder { slot, gaps };
        }
        let slot = Slot(self.next);
        self.next += 1;
        self.slots.insert(endpoint.clone(), slot);
        let source = Source {
            vm: endpoint.clone(),
            sequence: 0,
            gaps: 0,
            doubts: 0,
        };
        self.sources.insert(slot, source);
        Holder { slot, gaps: 0 }
    }

    fn learn_block(&mut self, holder: Holder, block: BlockHash) {
        let known = self.blocks.contains_key(&block);
        let entry = self.blocks.entry(block).or_default();
        entry.used = known;
        entry.holders.retain(|h| h.slot != holder.slot);
        entry.holders.push(holder);
        if entry.holders.len() > HOLDERS {
            entry.holders.remove(0);
        }
        if !known {
            self.order.push_back(block);
            self.bound();
        }
    }

    /// Evicts the oldest blocks that were not used since it last came by.
    fn bound(&mut self) {
        while self.blocks.len() > MEMORY {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            match self.blocks.get_mut(&oldest) {
                Some(entry) if entry.used => {
                    entry.used = false;
                    self.order.push_back(oldest);
                }
                _ => drop(self.blocks.swap_remove(&oldest)),
            }
        }
    }
}

impl Holder {
    fn since(self, source: &Source) -> u32 {
        source.gaps - self.gaps
    }
}
