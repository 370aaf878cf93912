//! Which endpoint has which prompt prefix cached.
//!
//! Answers conversations and shared instructions, whose prompts begin alike: an endpoint that has the prefix cached
//! starts answering without computing it again. Without it each endpoint computes every prefix, and each cache holds
//! what all the others hold. What is known is a guess: events come late and with gaps, and caches evict in between.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::ids::VmId;

/// How many blocks are remembered. At 64 bytes or so each they take a tenth of a router's 256 MB, and cover 4,100
/// endpoints' hottest hundred blocks.
const MEMORY: usize = 400_000;

/// How many endpoints are remembered for one block: more replicas than that need not be told apart.
const HOLDERS: usize = 8;

/// The hash of a block of a prompt and of all blocks before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BlockHash(pub u64);

/// Blocks and the endpoints that are thought to have them cached.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    blocks: IndexMap<BlockHash, Vec<VmId>>,
    order: VecDeque<BlockHash>,
}

impl PrefixIndex {
    /// Makes an index that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an endpoint has these blocks, from its event or because it was just given them.
    pub fn learn(&mut self, endpoint: &VmId, blocks: &[BlockHash]) {
        for block in blocks {
            self.learn_block(endpoint, *block);
        }
    }

    /// Notes that an endpoint has these blocks no longer.
    pub fn forget(&mut self, endpoint: &VmId, blocks: &[BlockHash]) {
        for block in blocks {
            if let Some(holders) = self.blocks.get_mut(block) {
                holders.retain(|h| h != endpoint);
            }
        }
    }

    /// Returns the endpoints that have the longest leading parts of a prompt, and how many blocks of it.
    pub fn matches(&self, prompt: &[BlockHash]) -> Vec<(VmId, usize)> {
        let mut found: Vec<(VmId, usize)> = Vec::new();
        for (at, block) in prompt.iter().enumerate() {
            let holders = self.blocks.get(block).map_or(&[][..], Vec::as_slice);
            if holders.is_empty() {
                break;
            }
            for holder in holders {
                match found.iter_mut().find(|(vm, _)| vm == holder) {
                    Some((_, count)) if *count == at => *count = at + 1,
                    Some(_) => (),
                    None if at == 0 => found.push((holder.clone(), 1)),
                    None => (),
                }
            }
        }
        found
    }

    fn learn_block(&mut self, endpoint: &VmId, block: BlockHash) {
        let known = self.blocks.contains_key(&block);
        let holders = self.blocks.entry(block).or_default();
        holders.retain(|h| h != endpoint);
        holders.push(endpoint.clone());
        if holders.len() > HOLDERS {
            holders.remove(0);
        }
        if !known {
            self.order.push_back(block);
            self.bound();
        }
    }

    fn bound(&mut self) {
        while self.blocks.len() > MEMORY {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.blocks.swap_remove(&oldest);
        }
    }
}
