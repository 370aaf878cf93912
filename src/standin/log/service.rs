//! The log's state, and what can be done with it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::sync::watch;

use crate::standin::log::faults::Faults;
use crate::standin::log::faults::LetGo;
use crate::standin::log::options::LogOptions;
use crate::standin::log::stats::StreamStats;
use crate::standin::log::stream::Kept;
use crate::standin::log::stream::Stream;
use crate::standin::switch::Switch;
use crate::standin::time::wall_ms;

/// How long an append may wait for its turn before it is refused.
const MAX_QUEUE: Duration = Duration::from_secs(2);

/// The log service.
#[derive(Debug)]
pub struct Log {
    options: LogOptions,
    pub(crate) switch: Arc<Switch<Faults>>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    streams: IndexMap<String, Stream>,
    turn: Instant,
    refused: u64,
}

/// What a read found.
#[derive(Debug)]
pub(crate) struct Page {
    /// The offset of the first record that is still kept.
    pub(crate) first: u64,
    /// The offset that the next append will have.
    pub(crate) next: u64,
    /// The records, with their offsets; nothing where the asked ones are gone.
    pub(crate) records: Option<Vec<(u64, Kept)>>,
}

impl Log {
    /// Starts a log without records.
    pub fn new(options: LogOptions) -> Self {
        Self {
            options,
            switch: Arc::new(Switch::new()),
            state: Mutex::new(State {
                streams: IndexMap::new(),
                turn: Instant::now(),
                refused: 0,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a stream's old records go.
    pub(crate) fn let_go(&self, gone: &LetGo) {
        self.state().stream(&gone.stream).let_go(gone.offset);
    }

    /// Returns how long an append has to wait for its turn, or nothing where the queue is full.
    pub(crate) fn queue(&self) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.state();
        let turn = state.turn.max(now);
        let wait = turn.duration_since(now);
        if wait > MAX_QUEUE {
            state.refused += 1;
            return None;
        }
        state.turn = turn + Duration::from_secs(1) / self.options.rate.max(1);
        Some(wait)
    }

    /// Appends a record and returns its offset.
    pub(crate) fn append(&self, stream: &str, data: Bytes) -> u64 {
        let wall = wall_ms();
        let mut state = self.state();
        let stream = state.stream(stream);
        let offset = stream.append(wall, data);
        self.trim(stream, wall);
        offset
    }

    /// Reads from an offset on.
    pub(crate) fn read(&self, stream: &str, from: u64, max: usize) -> Page {
        let mut state = self.state();
        let stream = state.stream(stream);
        self.trim(stream, wall_ms());
        let kept = from >= stream.first();
        Page {
            first: stream.first(),
            next: stream.next(),
            records: kept.then(|| stream.read(from, max)),
        }
    }

    /// Returns a view of the offset that a stream's next record will have.
    pub(crate) fn watch(&self, stream: &str) -> watch::Receiver<u64> {
        self.state().stream(stream).watch()
    }

    /// Returns each stream's counts.
    pub(crate) fn stats(&self) -> IndexMap<String, StreamStats> {
        let state = self.state();
        let counts = state.streams.iter();
        counts
            .map(|(name, stream)| (name.clone(), stream.stats))
            .collect()
    }

    /// Returns how many appends found the queue full.
    pub(crate) fn refused(&self) -> u64 {
        self.state().refused
    }

    fn trim(&self, stream: &mut Stream, wall: u64) {
        let oldest = wall.saturating_sub(self.options.keep_ms.unwrap_or(wall));
        stream.trim(oldest, self.options.keep_records.unwrap_or(usize::MAX));
    }
}

impl State {
    fn stream(&mut self, name: &str) -> &mut Stream {
        if !self.streams.contains_key(name) {
            self.streams.insert(name.to_owned(), Stream::new());
        }
        &mut self.streams[name]
    }
}
