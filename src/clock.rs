//! The clock, as the core sees it.

use std::time::Instant;
use std::time::SystemTime;

/// Tells the time; passed in wherever time is needed, so that a test decides what time it is.
pub trait Clock {
    /// Returns a reading that never goes back.
    fn now(&self) -> Instant;

    /// Returns the wall clock's time, for logs and for people; nothing is decided by it.
    fn wall(&self) -> SystemTime;
}
