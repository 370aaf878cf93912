//! Which endpoints stay in use although their newest entries cannot be read.
//!
//! Handles unreadable records that another writer left under the names of endpoints: if each took its endpoint away until
//! the next heartbeat, a pool would be empty when all its entries are overwritten at once. An unreadable record does not say
//! that an endpoint has left. One whose entries stay unreadable is as good as silent, and is dropped after the time that the
//! platform allows for silence.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// How long an endpoint stays without a readable entry: three heartbeat intervals, and the time of a read.
const TIMEOUT: Duration = Duration::from_secs(4);

/// The endpoints whose newest entries cannot be read.
#[derive(Debug, Default)]
pub(crate) struct UnreadableEntries {
    /// Since when each has had no readable entry.
    since: IndexMap<String, Instant>,
}

impl UnreadableEntries {
    /// Records that the newest entry of an endpoint cannot be read.
    pub(crate) fn record(&mut self, now: Instant, name: &str) {
        if !self.since.contains_key(name) {
            self.since.insert(name.to_owned(), now);
        }
    }

    /// Forgets an endpoint whose newest entry can be read.
    pub(crate) fn forget(&mut self, name: &str) {
        self.since.swap_remove(name);
    }

    /// Removes and returns the endpoints that have had no readable entry for too long.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<String> {
        let is_expired =
            |_: &String, since: &mut Instant| now.saturating_duration_since(*since) >= TIMEOUT;
        let expired = self.since.extract_if(.., is_expired);
        expired.map(|(name, _)| name).collect()
    }
}
