//! Index of the prompt prefixes that endpoints have cached.
//!
//! Conversations and shared instructions lead to prompts with common prefixes: an endpoint that has the prefix cached
//! starts answering without computing it again. Without the index, each endpoint computes every prefix, and all caches
//! hold the same content. The index is an estimate: events arrive late and with gaps, and caches evict blocks in
//! between. Each entry therefore stores how many gaps its endpoint's events had when it was recorded; its confidence
//! decreases with each gap since, and with each answer in a row that had less cached than expected.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::hash::BuildHasherDefault;

use indexmap::IndexMap;

use crate::decide::hasher::FastHasher;
use crate::ids::VmId;
use crate::prompt::BlockHash;

/// Maximum number of blocks in the index. At 116 bytes each (`cargo bench`) they take 47 of the 256 MB that a node may
/// use for control; with 16 tokens a block they cover 1,300 prompts of 4,800 tokens.
const MAX_BLOCKS: usize = 400_000;

/// Endpoints remembered for one block: more replicas than that need not be told apart.
const MAX_HOLDERS: usize = 8;

/// Factor on an entry's confidence for each gap in its endpoint's events since it was recorded. A gap hides evictions
/// as often as insertions.
const GAP_CONFIDENCE: f64 = 0.8;

/// Number of gaps after which an entry is ignored, its confidence being negligible.
const MAX_GAPS: u32 = 10;

/// Number of shorter matches considered, each half as long as the one before.
const MAX_HALVINGS: u32 = 4;

/// Change in an endpoint's cache, as reported by the endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number of the event, counted from 1 at each start of the endpoint.
    pub sequence: u64,
    /// Blocks cached since the previous event.
    pub stored: Vec<BlockHash>,
    /// Blocks evicted since the previous event.
    pub removed: Vec<BlockHash>,
}

/// Estimate of what an endpoint has cached of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct Match {
    /// The endpoint.
    pub endpoint: VmId,
    /// Number of leading blocks.
    pub blocks: usize,
    /// Confidence in the estimate, from 0 to 1.
    pub confidence: f64,
}

/// One lifetime of an endpoint's cache: a restart gets a new number.
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
    /// Answers in a row that had less cached than expected.
    overestimates: u32,
}

#[derive(Debug, Default)]
struct Entry {
    holders: Vec<Holder>,
    /// Whether the block was recorded again since the eviction scan last passed it.
    referenced: bool,
}

/// Blocks and the endpoints that are assumed to have them cached.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    blocks: IndexMap<BlockHash, Entry, BuildHasherDefault<FastHasher>>,
    eviction_queue: VecDeque<BlockHash>,
    cache_ids: IndexMap<VmId, CacheId, BuildHasherDefault<FastHasher>>,
    caches: IndexMap<CacheId, EndpointCache, BuildHasherDefault<FastHasher>>,
    next_id: u32,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the index has no blocks.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Records that an endpoint was just given a prompt, which it will have cached.
    pub fn record_cached(&mut self, endpoint: &VmId, prompt: &[BlockHash]) {
        let holder = self.current_holder(endpoint);
        // In reverse, so that eviction removes the ends of prompts before their beginnings.
        for block in prompt.iter().rev() {
            self.insert_block(holder, *block);
        }
    }

    /// Records that an endpoint no longer has these blocks.
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

    /// Applies an event of an endpoint.
    pub fn apply_event(&mut self, endpoint: &VmId, event: &CacheEvent) {
        if event.sequence <= 1 {
            // The endpoint restarted with an empty cache.
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
        // Blocks stored according to a late event may have been evicted by an event that arrived before it.
        if !is_stale {
            self.record_cached(endpoint, &event.stored);
        }
    }

    /// Records how many leading blocks of a prompt an endpoint had cached when it ran it.
    ///
    /// Fewer than expected means that it evicted blocks without an event. Having run the prompt, it has them cached
    /// again, but an endpoint that repeatedly has less than expected caches less than others, or nothing.
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

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: &VmId) {
        if let Some(cache_id) = self.cache_ids.swap_remove(endpoint) {
            self.caches.swap_remove(&cache_id);
        }
    }

    /// Returns an estimate of what each endpoint has cached of a prompt.
    ///
    /// The number of blocks examined is about the logarithm of the prompt's length: an endpoint that has a block most
    /// likely has all blocks before it, as caches evict from the end. An endpoint that has less than the longest match
    /// is credited with the next half, quarter and so on of it.
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

    /// Evicts the oldest blocks that were not recorded again since the last scan (second-chance algorithm).
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
