//! Assembles checkpoints from the parts in their stream.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Offset;
use crate::ledger::checkpoint::part::Part;
use crate::ledger::fold::Ledger;

/// How many incomplete checkpoints are kept: that of the router whose turn it is, those of routers that assumed it
/// dead, and those that dead routers left behind.
const MAX_PARTIAL: usize = 4;

/// A ledger restored from a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restored {
    /// The restored state; reading of the ledger's stream continues at its [`Ledger::next`].
    pub ledger: Ledger,
    /// The offset of the checkpoint's first part in the checkpoint stream.
    pub first: Offset,
}

/// Takes parts in stream order and returns each complete state that is newer than the last one.
#[derive(Debug, Default)]
pub struct Assembler {
    partial: IndexMap<CheckpointId, PartialCheckpoint>,
    /// The `as_of` of the newest restored checkpoint.
    newest: Option<Offset>,
    /// The number of complete checkpoints that could not be restored.
    damaged: u64,
}

/// Identifies a checkpoint: the fields that all its parts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CheckpointId {
    as_of: Offset,
    count: u32,
    whole: u64,
}

/// The parts of an incomplete checkpoint that were read so far.
#[derive(Debug)]
struct PartialCheckpoint {
    first: Offset,
    parts: IndexMap<u32, Vec<u8>>,
}

impl Assembler {
    /// Creates an assembler without parts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of checkpoints that had all their parts but could not be restored.
    pub fn damaged(&self) -> u64 {
        self.damaged
    }

    /// Adds the part at `offset` of the checkpoint stream; returns the ledger if this completes a newer checkpoint.
    pub fn push(&mut self, offset: Offset, part: Part) -> Option<Restored> {
        if !part.is_valid() || self.newest.is_some_and(|newest| part.as_of <= newest) {
            return None;
        }
        let id = CheckpointId {
            as_of: part.as_of,
            count: part.count,
            whole: part.whole,
        };
        let partial = self
            .partial
            .entry(id)
            .or_insert_with(|| PartialCheckpoint::new(offset));
        partial.parts.insert(part.index, part.bytes);
        if partial.parts.len() as u64 == u64::from(id.count) {
            return self.finish(id);
        }
        self.evict_oldest();
        None
    }

    fn finish(&mut self, id: CheckpointId) -> Option<Restored> {
        let partial = self.partial.shift_remove(&id)?;
        let first = partial.first;
        match partial.restore(id) {
            Some(ledger) => {
                self.newest = Some(id.as_of);
                self.partial.retain(|other, _| other.as_of > id.as_of);
                Some(Restored { ledger, first })
            }
            None => {
                self.damaged += 1;
                None
            }
        }
    }

    /// Evicts the oldest incomplete checkpoint if there are too many.
    fn evict_oldest(&mut self) {
        if self.partial.len() <= MAX_PARTIAL {
            return;
        }
        if let Some(oldest) = self.partial.keys().min_by_key(|id| id.as_of).copied() {
            self.partial.shift_remove(&oldest);
        }
    }
}

impl PartialCheckpoint {
    fn new(first: Offset) -> Self {
        Self {
            first,
            parts: IndexMap::new(),
        }
    }

    fn restore(mut self, id: CheckpointId) -> Option<Ledger> {
        self.parts.sort_unstable_keys();
        let bytes: Vec<u8> = self.parts.into_values().flatten().collect();
        if xxh3_64(&bytes) != id.whole {
            return None;
        }
        let mut ledger: Ledger = postcard::from_bytes(&bytes).ok()?;
        if ledger.next() != id.as_of || ledger.check_balances().is_err() {
            return None;
        }
        ledger.intern_names();
        Some(ledger)
    }
}
