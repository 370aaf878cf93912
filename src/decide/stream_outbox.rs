//! Streams to be recorded in the log: when, and how many at once.
//!
//! Handles a rolling release in a busy fleet, in which streams begin by the hundred each second. If each were written at
//! once, the fleet would use up the log's rate of calls; in batches a call carries all that began in an interval, which is
//! longer in large fleets.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::StreamDigest;
use crate::decide::StreamOrigin;

/// The pause between two writes of a router in a small fleet.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// How many routers of a fleet may each write at that interval.
const SMALL_FLEET: usize = 16;

/// How many times longer the interval is at most. A stream that is not recorded yet is lost to its caller if all routers
/// are killed.
const MAX_STRETCH: usize = 32;

/// The age from which a stream is not worth a record: hardly any caller takes it up.
const MAX_AGE: Duration = Duration::from_secs(30);

/// How many streams one write has at most.
const MAX_WRITE: usize = 2048;

/// How many streams may wait while the log is out of reach.
const MAX_WAITING: usize = 65_536;

/// Returns how much longer a router waits between two calls to the log than in a small fleet.
pub(crate) fn stretch(routers: usize) -> u32 {
    let stretch = routers.div_ceil(SMALL_FLEET).clamp(1, MAX_STRETCH);
    u32::try_from(stretch).unwrap_or(u32::MAX)
}

/// The streams of one router that are not recorded yet.
#[derive(Debug)]
pub(crate) struct StreamOutbox {
    waiting: IndexMap<StreamDigest, (StreamOrigin, Instant)>,
    /// How many of those that have waited longest are being written.
    writing: usize,
    next_write: Instant,
}

impl StreamOutbox {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            waiting: IndexMap::new(),
            writing: 0,
            next_write: now,
        }
    }

    /// Adds a stream that began.
    pub(crate) fn push(&mut self, now: Instant, digest: StreamDigest, origin: StreamOrigin) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.entry(digest).or_insert((origin, now));
        }
    }

    /// Returns whether streams are to be written now.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.writing == 0 && !self.waiting.is_empty() && now >= self.next_write
    }

    /// Begins a write if one is due, and returns its streams.
    pub(crate) fn begin_write(
        &mut self,
        now: Instant,
        routers: usize,
    ) -> Vec<(StreamDigest, StreamOrigin)> {
        if !self.is_due(now) {
            return Vec::new();
        }
        self.waiting.retain(|_, (_, began)| now < *began + MAX_AGE);
        self.writing = self.waiting.len().min(MAX_WRITE);
        self.next_write = now + WRITE_INTERVAL * stretch(routers);
        let first = self.waiting.iter().take(self.writing);
        first
            .map(|(digest, (origin, _))| (*digest, origin.clone()))
            .collect()
    }

    /// Ends a write. Streams that may not have been written are written again.
    pub(crate) fn end_write(&mut self, written: bool) {
        let count = std::mem::take(&mut self.writing);
        if written {
            self.waiting.drain(..count.min(self.waiting.len()));
        }
    }
}
