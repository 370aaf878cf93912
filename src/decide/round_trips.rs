//! How late all is that a router's VM sends and takes in.
//!
//! Answers a client account whose callers all keep to one small VM, whatever addresses they are told. The VM's link and
//! processor fill, and a question to a peer takes hundreds of milliseconds there. Without a measure of it the router gives
//! each question up too early, asks anew, and spends a good part of its link on what is not worth it then.

use std::time::Duration;
use std::time::Instant;

/// A VM whose peers take longer to answer is late: most objectives are some hundred milliseconds.
const LATE_THRESHOLD: Duration = Duration::from_millis(50);

/// How many of the shortest round trips an answer may take.
const TIMEOUT_ROUND_TRIPS: u32 = 3;

/// How long an answer is waited for at most, unless it usually takes longer.
const MAX_TIMEOUT: Duration = Duration::from_millis(600);

/// How often the measure changes.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// How many round trips it takes at least: one may be long for its peer's sake.
const MIN_SAMPLES: u32 = 3;

/// The round trips between a router and its peers.
#[derive(Debug, Default)]
pub struct RoundTrips {
    shortest: Duration,
    /// The shortest since the last step, and how many there were.
    pending: Option<Duration>,
    samples: u32,
    updated: Option<Instant>,
}

impl RoundTrips {
    /// Takes in how long a peer took to answer.
    pub fn sample(&mut self, now: Instant, round_trip: Duration) {
        let pending = self
            .pending
            .map_or(round_trip, |pending| pending.min(round_trip));
        self.pending = Some(pending);
        self.samples += 1;
        let due = self.updated.is_none_or(|at| now >= at + UPDATE_INTERVAL);
        if due && self.samples >= MIN_SAMPLES {
            self.shortest = pending;
            self.pending = None;
            self.samples = 0;
            self.updated = Some(now);
        }
    }

    /// Returns the shortest round trip of late, zero before any was measured.
    pub fn shortest(&self) -> Duration {
        self.shortest
    }

    /// Returns how long an answer may take that comes within a usual time elsewhere.
    pub fn timeout(&self, usual: Duration) -> Duration {
        (self.shortest * TIMEOUT_ROUND_TRIPS).clamp(usual, MAX_TIMEOUT.max(usual))
    }

    /// Returns whether all that the VM does is late.
    pub fn is_late(&self) -> bool {
        self.shortest > LATE_THRESHOLD
    }
}
