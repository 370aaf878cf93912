//! Calls to the log of one kind, of which one is in progress at a time.

use std::time::Duration;
use std::time::Instant;

/// The pause after a call that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a call is in progress, and when the next one may be made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogCalls {
    busy: bool,
    next: Instant,
}

impl LogCalls {
    /// Creates a state in which a call may be made at once.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            busy: false,
            next: now,
        }
    }

    /// Returns whether a call may be made now.
    pub(crate) fn may_begin(&self, now: Instant) -> bool {
        !self.busy && now >= self.next
    }

    /// Returns whether a call is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.busy
    }

    /// Records that a call begins.
    pub(crate) fn begin(&mut self) {
        self.busy = true;
    }

    /// Records that a call ended. One that failed is followed by a pause.
    pub(crate) fn end(&mut self, now: Instant, answered: bool) {
        self.busy = false;
        if !answered {
            self.next = now + RETRY_INTERVAL;
        }
    }

    /// Lets the next call be made at a time.
    pub(crate) fn set_next(&mut self, at: Instant) {
        self.next = at;
    }
}
