//! How long a call to the store may take from here.
//!
//! Answers callers who all press on one small VM: its link fills, and each packet waits in it for most of a second. Under a
//! time limit that suits an idle link no write of that router would be known to have landed, though the store takes each
//! of them, and each call given up would cost another connection.

use std::time::Duration;

/// How many round trips an answer may take.
const MAX_ROUND_TRIPS: u32 = 2;

/// The longest limit, unless the answer usually may take longer.
const MAX_TIMEOUT: Duration = Duration::from_millis(2000);

/// What part of the longest round trip is still expected after a shorter one.
const ROUND_TRIP_DECAY: f64 = 0.5;

/// What is known of the round trips to a service.
#[derive(Debug, Default)]
pub struct CallTimes {
    round_trip: Duration,
}

impl CallTimes {
    /// Takes in how long a connection took to open, or an answer that was not held open.
    pub fn sample(&mut self, took: Duration) {
        self.round_trip = took.max(self.round_trip.mul_f64(ROUND_TRIP_DECAY));
    }

    /// Returns how long an answer may take that usually comes within a time.
    pub fn timeout(&self, usual: Duration) -> Duration {
        (self.round_trip * MAX_ROUND_TRIPS).clamp(usual, MAX_TIMEOUT.max(usual))
    }
}
