//! Timeouts of calls to the store.
//!
//! Handles many callers of one small VM: its link is saturated, and each packet waits there for most of a second. With
//! a timeout suited to an idle link the router would not see any of its writes confirmed, although the store receives
//! each of them, and each abandoned call would cost another connection.

use std::time::Duration;

/// How many round trips an answer may take.
const MAX_ROUND_TRIPS: u32 = 2;

/// The longest timeout, unless the usual time is longer.
const MAX_TIMEOUT: Duration = Duration::from_millis(2000);

/// The share of the longest round trip that is still expected after a shorter one.
const ROUND_TRIP_DECAY: f64 = 0.5;

/// The measured round trips to a service.
#[derive(Debug, Default)]
pub struct CallTimes {
    round_trip: Duration,
}

impl CallTimes {
    /// Records how long it took to open a connection, or to get an answer that was not held open.
    pub fn sample(&mut self, took: Duration) {
        self.round_trip = took.max(self.round_trip.mul_f64(ROUND_TRIP_DECAY));
    }

    /// Returns the timeout of a call that is usually answered within the given time.
    pub fn timeout(&self, usual: Duration) -> Duration {
        (self.round_trip * MAX_ROUND_TRIPS).clamp(usual, MAX_TIMEOUT.max(usual))
    }
}
