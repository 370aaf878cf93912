//! Suspects that are not sent to endpoints for a time.

use std::time::Duration;
use std::time::Instant;

/// How long the first quarantine of a suspect lasts.
const FIRST_DURATION: Duration = Duration::from_secs(600);

/// The factor on the duration of each further quarantine of a suspect.
const GROWTH: u32 = 4;

/// The most quarantines that make the next one longer.
const MAX_GROWTHS: u32 = 4;

/// A quarantine of a suspect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quarantined {
    /// When the first crash happened that it is held responsible for.
    pub(super) first: Instant,
    /// When the crash happened that had it quarantined.
    pub(super) since: Instant,
    /// How often it was quarantined.
    pub(super) count: u32,
    /// In how many heartbeats it was told.
    pub(super) told: u32,
}

impl Quarantined {
    /// Returns when it ends.
    pub(super) fn end(&self) -> Instant {
        let growths = self.count.saturating_sub(1).min(MAX_GROWTHS);
        self.since + FIRST_DURATION * GROWTH.pow(growths)
    }
}
