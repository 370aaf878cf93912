//! The clock interface of the core.

use std::time::Instant;
use std::time::SystemTime;

/// A source of time. It is passed in wherever time is needed, so that tests control it.
pub trait Clock {
    /// Returns a monotonic reading.
    fn now(&self) -> Instant;

    /// Returns the wall clock time, for logs only. No decision depends on it.
    fn wall(&self) -> SystemTime;
}
