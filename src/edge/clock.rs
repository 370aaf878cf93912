//! The machine's clock.

use std::time::Instant;
use std::time::SystemTime;

use crate::clock::Clock;

/// Reads the machine's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
