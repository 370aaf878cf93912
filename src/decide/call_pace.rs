//! The pace of calls whose answers many requests wait for at once.
//!
//! Handles an endpoint or a router that dies with hundreds of streams, all of which are taken up within a tenth of a second.
//! With a call for each, a fleet would use up the rate that the log takes; one call answers all that waited when it was
//! sent. A few calls may follow each other at once, so that a single request does not wait.

use std::time::Duration;
use std::time::Instant;

/// How many calls may be made in a row before they are an interval apart.
const BURST: u32 = 4;

/// When calls of one kind may be made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallPace {
    next: Instant,
}

impl CallPace {
    pub(crate) fn new(now: Instant) -> Self {
        Self { next: now }
    }

    /// Returns whether a call may be made now, and counts it if so.
    pub(crate) fn try_begin(&mut self, now: Instant, interval: Duration) -> bool {
        if self.next > now + interval * BURST {
            return false;
        }
        self.next = self.next.max(now) + interval;
        true
    }
}
