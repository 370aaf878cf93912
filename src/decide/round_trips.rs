//! How late all is that a router's VM sends and takes in.
//!
//! Answers a client account whose callers all keep to one small VM, whatever addresses they are told. The VM's link and
//! processor fill, and a question to a peer takes hundreds of milliseconds there. Without a measure of it the router gives
//! each question up too early, asks anew, and spends a good part of its link on what is not worth it then.

use std::time::Duration;
use std::time::Instant;

/// A VM whose peers take longer to answer is late: most objectives are some hundred milliseconds.
const LATE: Duration = Duration::from_millis(50);

/// How many of the shortest round trips an answer may take.
const ROUNDS: u32 = 3;

/// How long an answer is waited for at most, unless it usually takes longer.
const LONGEST: Duration = Duration::from_millis(600);

/// How often the measure changes.
const STEP: Duration = Duration::from_millis(250);

/// How many round trips it takes at least: one may be long for its peer's sake.
const SAMPLES: u32 = 3;

/// The round trips between a router and its peers.
#[derive(Debug, Default)]
pub struct RoundTrips {
    shortest: Duration,
    /// The shortest since the last step, and how many there were.
    next: Option<Duration>,
    samples: u32,
    stepped: Option<Instant>,
}

impl RoundTrips {
    /// Takes in how long a peer took to answer.
    pub fn sample(&mut self, now: Instant, round: Duration) {
        let next = self.next.map_or(round, |next| next.min(round));
        self.next = Some(next);
        self.samples += 1;
        let due = self.stepped.is_none_or(|at| now >= at + STEP);
        if due && self.samples >= SAMPLES {
            self.shortest = next;
            self.next = None;
            self.samples = 0;
            self.stepped = Some(now);
        }
    }

    /// Returns the shortest round trip of late, zero before any was measured.
    pub fn shortest(&self) -> Duration {
        self.shortest
    }

    /// Returns how long an answer may take that comes within a usual time elsewhere.
    pub fn limit(&self, usual: Duration) -> Duration {
        (self.shortest * ROUNDS).clamp(usual, LONGEST.max(usual))
    }

    /// Returns whether all that the VM does is late.
    pub fn is_late(&self) -> bool {
        self.shortest > LATE
    }
}
