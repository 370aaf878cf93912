//! The prefix cache, and what it publishes of itself.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Serialize;

use crate::prompt::BlockHash;
use crate::standin::chance::Chance;

/// How many events are kept for readers; a reader that is further behind finds a gap.
const EVENTS_KEPT: usize = 10_000;

/// What became of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Kind {
    /// It was cached.
    Stored,
    /// It had to make room.
    Removed,
}

/// One published change of the cache.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Event {
    /// Its number, counted over the unpublished ones too.
    pub(crate) seq: u64,
    /// What became of the block.
    pub(crate) kind: Kind,
    /// The block.
    pub(crate) block: BlockHash,
}

/// Blocks of prompt prefixes, of which the least recently used make room.
#[derive(Debug)]
pub(crate) struct Cache {
    room: usize,
    uses: u64,
    blocks: IndexMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    events: Events,
}

impl Cache {
    /// Starts an empty cache with room for so many blocks.
    pub(crate) fn new(room: usize, lag: Duration, gap: f64) -> Self {
        Self {
            room,
            uses: 0,
            blocks: IndexMap::new(),
            by_use: BTreeMap::new(),
            events: Events::new(lag, gap),
        }
    }

    /// Returns how many blocks of a prefix are cached, counted from its start.
    pub(crate) fn cached(&self, prefix: &[BlockHash]) -> usize {
        let held = prefix.iter();
        held.take_while(|block| self.blocks.contains_key(*block))
            .count()
    }

    /// Returns the share of its room that is taken.
    pub(crate) fn used(&self) -> f64 {
        self.blocks.len() as f64 / self.room.max(1) as f64
    }

    /// Keeps a prefix's blocks, its first the longest.
    pub(crate) fn store(&mut self, now: Instant, prefix: &[BlockHash]) {
        // A block is of use only while those before it are there, so the first count as used last.
        for block in prefix.iter().take(self.room).rev() {
            self.touch(now, *block);
        }
        while self.blocks.len() > self.room {
            self.evict(now);
        }
    }

    /// Forgets all, as a crash does; nothing is published of it.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
        self.by_use.clear();
    }

    /// Returns the published events from a number on, and the number to ask for next.
    pub(crate) fn events(&self, now: Instant, from: u64) -> (Vec<Event>, u64) {
        self.events.read(now, from)
    }

    fn touch(&mut self, now: Instant, block: BlockHash) {
        self.uses += 1;
        match self.blocks.insert(block, self.uses) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => self.events.publish(now, Kind::Stored, block),
        }
        self.by_use.insert(self.uses, block);
    }

    fn evict(&mut self, now: Instant) {
        let Some((_, block)) = self.by_use.pop_first() else {
            return;
        };
        self.blocks.swap_remove(&block);
        self.events.publish(now, Kind::Removed, block);
    }
}

#[derive(Debug)]
struct Events {
    lag: Duration,
    gap: f64,
    chance: Chance,
    next: u64,
    kept: VecDeque<(Instant, Event)>,
}

impl Events {
    fn new(lag: Duration, gap: f64) -> Self {
        Self {
            lag,
            gap,
            chance: Chance::new(0),
            next: 1,
            kept: VecDeque::new(),
        }
    }

    fn publish(&mut self, now: Instant, kind: Kind, block: BlockHash) {
        let seq = self.next;
        self.next += 1;
        if self.chance.strikes(self.gap) {
            return;
        }
        self.kept.push_back((now, Event { seq, kind, block }));
        if self.kept.len() > EVENTS_KEPT {
            self.kept.pop_front();
        }
    }

    fn read(&self, now: Instant, from: u64) -> (Vec<Event>, u64) {
        let shown = self.kept.iter();
        let shown = shown.take_while(|(at, _)| now.duration_since(*at) >= self.lag);
        let events: Vec<Event> = shown
            .map(|(_, event)| *event)
            .filter(|event| event.seq >= from)
            .collect();
        // A reader that is ahead read an earlier life of this engine; the number that it is given lies behind its own.
        let next = events
            .last()
            .map_or(from.min(self.next), |event| event.seq + 1);
        (events, next)
    }
}
