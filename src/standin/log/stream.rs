//! One stream of the log.

use std::collections::VecDeque;

use bytes::Bytes;
use tokio::sync::watch;

use crate::standin::log::stats::StreamStats;

/// A record, as the stream keeps it.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    /// When it was appended, in milliseconds since 1970; never less than the record before has.
    pub(crate) at: u64,
    /// Its bytes.
    pub(crate) data: Bytes,
}

/// A stream: the records that are still kept, and where they stand.
#[derive(Debug)]
pub(crate) struct Stream {
    first: u64,
    kept: VecDeque<Kept>,
    last_at: u64,
    next: watch::Sender<u64>,
    /// Its counts.
    pub(crate) stats: StreamStats,
}

impl Stream {
    /// Starts an empty stream.
    pub(crate) fn new() -> Self {
        Self {
            first: 0,
            kept: VecDeque::new(),
            last_at: 0,
            next: watch::Sender::new(0),
            stats: StreamStats::default(),
        }
    }

    /// Returns the offset of the first record that is still kept.
    pub(crate) fn first(&self) -> u64 {
        self.first
    }

    /// Returns the offset that the next record will have.
    pub(crate) fn next(&self) -> u64 {
        *self.next.borrow()
    }

    /// Returns a view of `next` that can be waited on.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.next.subscribe()
    }

    /// Appends a record and returns its offset.
    pub(crate) fn append(&mut self, wall: u64, data: Bytes) -> u64 {
        // A wall clock that is set back would make a later record look older than an earlier one.
        self.last_at = self.last_at.max(wall);
        self.stats.appended(data.len());
        self.kept.push_back(Kept {
            at: self.last_at,
            data,
        });
        let offset = self.next();
        self.next.send_replace(offset + 1);
        offset
    }

    /// Returns up to `max` records from an offset on, with their offsets.
    pub(crate) fn read(&mut self, from: u64, max: usize) -> Vec<(u64, Kept)> {
        let skip = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let found = self.kept.iter().skip(skip).take(max).cloned();
        let found: Vec<_> = (from..).zip(found).collect();
        let bytes = found.iter().map(|(_, kept)| kept.data.len()).sum();
        self.stats.read(bytes);
        found
    }

    /// Lets go all before an offset.
    pub(crate) fn let_go(&mut self, offset: u64) {
        while self.first < offset && self.kept.pop_front().is_some() {
            self.first += 1;
        }
    }

    /// Lets go what is older than `oldest`, and what is more than `most`.
    pub(crate) fn trim(&mut self, oldest: u64, most: usize) {
        let spare = self.kept.len().saturating_sub(most);
        let old = self.kept.partition_point(|kept| kept.at < oldest);
        self.let_go(self.first + spare.max(old) as u64);
    }
}
