//! Which version of the endpoints' software began each stream.
//!
//! Handles callers that take up a stream that broke off, at any router: it may go on only at the version that began it,
//! and the router that knows that may be dead by then. Each router remembers the streams that began there. While a pool
//! has several versions, two more routers, found by rendezvous hashing of the stream's name, remember them as well, so
//! that any router knows whom to ask, and nobody is told of each stream but these two.

use std::fmt;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::decide::pool_versions::VERSION_RETENTION;
use crate::ids::AccountId;
use crate::ids::AttemptId;
use crate::ids::PoolId;
use crate::ids::SoftwareVersion;

/// How many streams are remembered at most in each half.
const MAX_HALF: usize = 32_768;

/// Identifies a stream: the client account, and the attempt that brought the first event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey {
    /// The client account. Two accounts may use the same name.
    pub account: AccountId,
    /// The caller's name for the attempt.
    pub attempt: AttemptId,
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.account, self.attempt)
    }
}

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// The version of the endpoint's software, if its entry in the VM list has one.
    pub version: Option<SoftwareVersion>,
}

/// The streams that a router remembers.
#[derive(Debug)]
pub struct StreamOrigins {
    /// The streams of the current period, and those of the one before, so that old ones are dropped all at once.
    current: IndexMap<StreamKey, (StreamOrigin, Instant)>,
    previous: IndexMap<StreamKey, (StreamOrigin, Instant)>,
    began: Instant,
}

impl StreamOrigins {
    /// Creates an empty memory.
    pub fn new(now: Instant) -> Self {
        Self {
            current: IndexMap::new(),
            previous: IndexMap::new(),
            began: now,
        }
    }

    /// Remembers what began a stream.
    pub fn record(&mut self, now: Instant, key: StreamKey, origin: StreamOrigin) {
        if now >= self.began + VERSION_RETENTION || self.current.len() >= MAX_HALF {
            self.previous = std::mem::take(&mut self.current);
            self.began = now;
        }
        self.current.insert(key, (origin, now));
    }

    /// Returns what began a stream, if it is remembered.
    pub fn find(&self, key: &StreamKey) -> Option<&StreamOrigin> {
        let found = self.current.get(key).or_else(|| self.previous.get(key));
        found.map(|(origin, _)| origin)
    }

    /// Returns the streams of a pool that were recorded since a time.
    pub fn of_pool<'a>(
        &'a self,
        pool: &'a PoolId,
        since: Option<Instant>,
    ) -> impl Iterator<Item = (&'a StreamKey, &'a StreamOrigin)> {
        let all = self.current.iter().chain(&self.previous);
        let recent = all.filter(move |(_, (origin, at))| {
            origin.pool == *pool && since.is_none_or(|since| *at >= since)
        });
        recent.map(|(key, (origin, _))| (key, origin))
    }
}
