//! Round-trip times between a router's VM and its peers.
//!
//! If all callers of a client account use one small VM, whatever addresses they are advised to use, the VM's link and
//! processor are saturated, and a request to a peer takes hundreds of milliseconds there. Without this measurement, the
//! router gives up each request too early, sends another, and spends a good part of its link on traffic that is
//! useless under such load.

use std::time::Duration;
use std::time::Instant;

/// Round-trip time above which a VM is late: most latency objectives are some hundred milliseconds.
const LATE_THRESHOLD: Duration = Duration::from_millis(50);

/// Timeout of an answer, in multiples of the shortest round trip.
const TIMEOUT_ROUND_TRIPS: u32 = 3;

/// Maximum timeout of an answer, unless its usual timeout is longer.
const MAX_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval at which the measurement is updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum number of round trips for an update: a single one may be long because of the peer.
const MIN_SAMPLES: u32 = 3;

/// The round trips between a router and its peers.
#[derive(Debug, Default)]
pub struct RoundTrips {
    shortest: Duration,
    /// Shortest round trip since the last update, and how many there were.
    pending: Option<Duration>,
    samples: u32,
    updated: Option<Instant>,
}

impl RoundTrips {
    /// Records how long a peer took to answer.
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

    /// Returns the shortest recent round trip; zero before any was measured.
    pub fn shortest(&self) -> Duration {
        self.shortest
    }

    /// Returns the timeout of an answer whose usual timeout is `usual`.
    pub fn timeout(&self, usual: Duration) -> Duration {
        (self.shortest * TIMEOUT_ROUND_TRIPS).clamp(usual, MAX_TIMEOUT.max(usual))
    }

    /// Returns whether all traffic of the VM is late.
    pub fn is_late(&self) -> bool {
        self.shortest > LATE_THRESHOLD
    }
}
