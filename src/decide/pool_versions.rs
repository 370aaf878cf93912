//! The versions of their software that the endpoints of a pool have run lately.
//!
//! Handles a rolling release, in which endpoints of two versions serve at once: a stream may go on only at the version
//! that began it. While a pool has had a single version for as long as streams are taken up, nothing has to be known of
//! each stream.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::SoftwareVersion;

/// How long a version counts after its last endpoint is gone: streams that it began may be taken up for as long.
pub(crate) const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// The versions of one pool; `None` is that of endpoints that list none.
#[derive(Clone, Debug, Default)]
pub struct PoolVersions {
    /// When an endpoint of each version was last listed.
    seen: IndexMap<Option<SoftwareVersion>, Instant>,
}

impl PoolVersions {
    /// Records that an endpoint of a version was listed at a time.
    pub fn record(&mut self, at: Instant, version: Option<SoftwareVersion>) {
        let last = self.seen.entry(version).or_insert(at);
        *last = at.max(*last);
    }

    /// Drops the versions that no longer count.
    pub fn expire(&mut self, now: Instant) {
        self.seen.retain(|_, at| now < *at + VERSION_RETENTION);
    }

    /// Returns whether there is more than one.
    pub fn is_mixed(&self) -> bool {
        self.seen.len() > 1
    }

    /// Returns the version, if there is only one.
    pub fn only(&self) -> Option<&Option<SoftwareVersion>> {
        match self.is_mixed() {
            true => None,
            false => self.seen.keys().next(),
        }
    }

    /// Returns the versions, and how long ago an endpoint of each was last listed.
    pub fn ages(&self, now: Instant) -> impl Iterator<Item = (&Option<SoftwareVersion>, Duration)> {
        let seen = self.seen.iter();
        seen.map(move |(version, at)| (version, now.saturating_duration_since(*at)))
    }
}
