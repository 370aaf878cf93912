//! Which heartbeats of endpoints are new, by their numbers.
//!
//! Handles heartbeats that reach the store after later ones: an endpoint that has announced that it leaves would receive
//! requests again until its next heartbeat. Handles a record with a number that is too high as well, which another writer
//! left under an endpoint's name: all heartbeats of the endpoint would count as late, and it would never be seen to leave,
//! to move or to change its version. Late heartbeats come beside current ones, or several at once. Heartbeats that rise for
//! a while without a current one beside them are therefore not late, and the endpoint counts on from them.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// How many endpoints are remembered, including those that are gone. A late heartbeat arrives within seconds, and a day has a
/// few hundred replacements.
const MAX_ENDPOINTS: usize = 4096;

/// How many heartbeats must rise below the newest one to replace it, and for how long.
const MIN_RISING: u32 = 3;
const MIN_SPAN: Duration = Duration::from_secs(2);

/// The number of a heartbeat. Those of a later life are higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatNumber {
    /// When the endpoint's life began, as a Unix time in milliseconds, if its entry says so.
    pub born: Option<u64>,
    /// The number within that life.
    pub sequence: u64,
}

/// Heartbeats below the newest one, each above the one before.
#[derive(Clone, Copy, Debug)]
struct Rising {
    last: HeartbeatNumber,
    count: u32,
    since: Instant,
}

impl Rising {
    fn begin(now: Instant, number: HeartbeatNumber) -> Self {
        Self {
            last: number,
            count: 1,
            since: now,
        }
    }

    /// Returns the series with a further heartbeat. One that was read before changes nothing; a lower one begins anew.
    fn with(self, now: Instant, number: HeartbeatNumber) -> Self {
        if number == self.last {
            return self;
        }
        if number < self.last {
            return Self::begin(now, number);
        }
        Self {
            last: number,
            count: self.count + 1,
            since: self.since,
        }
    }

    fn replaces_newest(self, now: Instant) -> bool {
        self.count >= MIN_RISING && now.saturating_duration_since(self.since) >= MIN_SPAN
    }
}

/// What is known of one endpoint's heartbeats.
#[derive(Clone, Copy, Debug)]
struct Known {
    newest: HeartbeatNumber,
    rising: Option<Rising>,
}

/// The newest heartbeat of each endpoint.
#[derive(Debug, Default)]
pub struct HeartbeatOrder {
    endpoints: IndexMap<String, Known>,
}

impl HeartbeatOrder {
    /// Records a heartbeat, and returns whether it is the newest one of its endpoint.
    pub fn advance(&mut self, now: Instant, name: &str, number: HeartbeatNumber) -> bool {
        let known = self.endpoints.shift_remove(name);
        let known = known.map_or_else(|| Known::new(number), |known| known.with(now, number));
        let is_newest = known.newest == number;
        self.endpoints.insert(name.to_owned(), known);
        if self.endpoints.len() > MAX_ENDPOINTS {
            self.endpoints.shift_remove_index(0);
        }
        is_newest
    }
}

impl Known {
    fn new(number: HeartbeatNumber) -> Self {
        Self {
            newest: number,
            rising: None,
        }
    }

    /// Returns what is known with a further heartbeat.
    fn with(self, now: Instant, number: HeartbeatNumber) -> Self {
        if number >= self.newest {
            return Self::new(number);
        }
        let rising = match self.rising {
            Some(rising) => rising.with(now, number),
            None => Rising::begin(now, number),
        };
        if rising.replaces_newest(now) {
            return Self::new(number);
        }
        Self {
            rising: Some(rising),
            ..self
        }
    }
}
