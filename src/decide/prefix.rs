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

/// How many blocks are remembered. At 116 bytes each (`cargo bench`) they take 47 of the 256 MB that a node may spend for
/// control; with 16 tokens a block they are 1,300 prompts of 4,800 tokens.
const MAX_BLOCKS: usize = 400_000;

/// How many endpoints are remembered for one block: more replicas than that need not be told apart.
const MAX_HOLDERS: usize = 8;

/// What an entry counts for each gap in its endpoint's events since it was learnt. A gap hides evictions as often as
/// stores.
const GAP_CONFIDENCE: f64 = 0.8;

/// After so many gaps an entry is worth next to nothing.
const MAX_GAPS: u32 = 10;

/// How many shorter matches are looked at, each half as long as the one before.
const MAX_HALVINGS: u32 = 4;

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
    pub confidence: f64,
}

/// One endpoint, as one life of its cache knows it: a restart makes another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CacheId(u32);

#[derive(Clone, Copy, Debug)]
struct Holder {
    cache_id: CacheId,
    gaps: u32,
}

#[derive(Debug)]
struct EndpointCache {
    vm: VmId,
    sequence: u64,
    gaps: u32,
    /// Answers in a row that had less cached than was thought.
    overestimates: u32,
}

#[derive(Debug, Default)]
struct Entry {
    holders: Vec<Holder>,
    /// Whether it was learnt again or matched since eviction last came by.
    referenced: bool,
}

/// Blocks and the endpoints that are thought to have them cached.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    blocks: IndexMap<BlockHash, Entry, BuildHasherDefault<FastHasher>>,
    eviction_queue: VecDeque<BlockHash>,
    cache_ids: IndexMap<VmId, CacheId, BuildHasherDefault<FastHasher>>,
    caches: IndexMap<CacheId, EndpointCache, BuildHasherDefault<FastHasher>>,
    next_id: u32,
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
    pub fn record_cached(&mut self, endpoint: &VmId, prompt: &[BlockHash]) {
        let holder = self.current_holder(endpoint);
        // From the last, so that memory runs out of the ends of prompts before their beginnings.
        for block in prompt.iter().rev() {
            self.insert_block(holder, *block);
        }
    }

    /// Notes that an endpoint has these blocks no longer.
    pub fn record_evicted(&mut self, endpoint: &VmId, blocks: &[BlockHash]) {
        let Some(cache_id) = self.cache_ids.get(endpoint).copied() else {
            return;
        };
        for block in blocks {
            if let Some(entry) = self.blocks.get_mut(block) {
                entry.holders.retain(|h| h.cache_id != cache_id);
            }
        }
    }

    /// Takes in an endpoint's event.
    pub fn apply_event(&mut self, endpoint: &VmId, event: &CacheEvent) {
        if event.sequence <= 1 {
            // The endpoint started anew, with nothing cached.
            self.remove(endpoint);
        }
        let cache_id = self.current_holder(endpoint).cache_id;
        let Some(cache) = self.caches.get_mut(&cache_id) else {
            return;
        };
        if event.sequence > cache.sequence + 1 {
            cache.gaps += 1;
        }
        let is_stale = event.sequence <= cache.sequence;
        cache.sequence = cache.sequence.max(event.sequence);
        self.record_evicted(endpoint, &event.removed);
        // What a late one says was stored may have been evicted by one that came before it.
        if !is_stale {
            self.record_cached(endpoint, &event.stored);
        }
    }

    /// Takes in how many leading blocks of a prompt an endpoint had cached when it ran it.
    ///
    /// Fewer than thought means that it evicted them unseen. What it ran it has cached again, but an endpoint that has
    /// less than thought time after time caches less than others, or nothing.
    pub fn record_served(
        &mut self,
        endpoint: &VmId,
        prompt: &[BlockHash],
        expected: usize,
        cached: usize,
    ) {
        self.record_cached(endpoint, prompt);
        let Some(cache) = self.cache(endpoint) else {
            return;
        };
        match expected.cmp(&cached) {
            Ordering::Greater => cache.overestimates += 1,
            _ => cache.overestimates = 0,
        }
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, endpoint: &VmId) {
        if let Some(cache_id) = self.cache_ids.swap_remove(endpoint) {
            self.caches.swap_remove(&cache_id);
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
        for depth in (0..=MAX_HALVINGS).map(|halvings| longest >> halvings) {
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
            let Some(cache) = self.caches.get(&holder.cache_id) else {
                continue;
            };
            let forgotten = holder.missed_gaps(cache) >= MAX_GAPS;
            if !forgotten && found.iter().all(|m| m.endpoint != cache.vm) {
                found.push(Match {
                    endpoint: cache.vm.clone(),
                    blocks: depth,
                    confidence: GAP_CONFIDENCE
                        .powi((holder.missed_gaps(cache) + cache.overestimates) as i32),
                });
            }
        }
    }

    fn is_held(&self, block: &BlockHash) -> bool {
        let entry = self.blocks.get(block);
        entry.is_some_and(|entry| !entry.holders.is_empty())
    }

    fn cache(&mut self, endpoint: &VmId) -> Option<&mut EndpointCache> {
        let cache_id = self.cache_ids.get(endpoint)?;
        self.caches.get_mut(cache_id)
    }

    fn current_holder(&mut self, endpoint: &VmId) -> Holder {
        if let Some(cache_id) = self.cache_ids.get(endpoint).copied() {
            let gaps = self.caches.get(&cache_id).map_or(0, |s| s.gaps);
            return Holder { cache_id, gaps };
        }
        let cache_id = CacheId(self.next_id);
        self.next_id += 1;
        self.cache_ids.insert(endpoint.clone(), cache_id);
        let cache = EndpointCache {
            vm: endpoint.clone(),
            sequence: 0,
            gaps: 0,
            overestimates: 0,
        };
        self.caches.insert(cache_id, cache);
        Holder { cache_id, gaps: 0 }
    }

    fn insert_block(&mut self, holder: Holder, block: BlockHash) {
        let known = self.blocks.contains_key(&block);
        let entry = self.blocks.entry(block).or_default();
        entry.referenced = known;
        entry.holders.retain(|h| h.cache_id != holder.cache_id);
        entry.holders.push(holder);
        if entry.holders.len() > MAX_HOLDERS {
            entry.holders.remove(0);
        }
        if !known {
            self.eviction_queue.push_back(block);
            self.evict();
        }
    }

    /// Evicts the oldest blocks that were not used since it last came by.
    fn evict(&mut self) {
        while self.blocks.len() > MAX_BLOCKS {
            let Some(oldest) = self.eviction_queue.pop_front() else {
                return;
            };
            match self.blocks.get_mut(&oldest) {
                Some(entry) if entry.referenced => {
                    entry.referenced = false;
                    self.eviction_queue.push_back(oldest);
                }
                _ => drop(self.blocks.swap_remove(&oldest)),
            }
        }
    }
}

impl Holder {
    fn missed_gaps(self, cache: &EndpointCache) -> u32 {
        cache.gaps - self.gaps
    }
}
