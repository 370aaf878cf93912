//! Tells whether a router has lost its path to all endpoints of a pool.
//!
//! Handles a VM that loses its links to the endpoints while callers, other routers and the log still reach it. Its
//! requests fail as they do at crashed endpoints: each waits for a connection, is retried at an endpoint that is as far
//! away, and is refused. Refusals are cheap, so the VM looks idle and its callers stay. Taken one by one, the failures
//! don't tell this from crashes; that several endpoints fail in a row and none answers meanwhile does.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::VmId;

/// How many endpoints must be lost in a row, if there are so many. Two that crash together are no cut.
const MIN_LOST: usize = 3;

/// How long a loss counts for. Losses that are further apart have causes of their own.
const LOSS_LIFETIME: Duration = Duration::from_secs(5);

/// Whether a router reaches the endpoints of one pool.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    /// The endpoints that were lost since the last contact with any endpoint, and when.
    lost: IndexMap<VmId, Instant>,
    last_contact: Option<Instant>,
    cut_since: Option<Instant>,
}

impl Reachability {
    /// Records that an endpoint answered or accepted a connection. If the path was lost until now, returns the endpoints
    /// whose failures were due to that.
    pub(crate) fn record_contact(&mut self, now: Instant) -> Option<Vec<VmId>> {
        self.last_contact = Some(now);
        let was_cut = self.cut_since.take().is_some();
        let lost = std::mem::take(&mut self.lost);
        was_cut.then(|| lost.into_keys().collect())
    }

    /// Records that an endpoint of a pool of `count` accepted no connection, or didn't answer. Returns whether the path
    /// counts as lost from now on.
    pub(crate) fn record_loss(&mut self, now: Instant, vm: &VmId, count: usize) -> bool {
        if !self.is_cut() {
            self.lost.retain(|_, at| now < *at + LOSS_LIFETIME);
        }
        self.lost.insert(vm.clone(), now);
        let is_new = !self.is_cut() && self.lost.len() >= MIN_LOST.min(count.max(1));
        if is_new {
            self.cut_since = Some(now);
        }
        is_new
    }

    /// Returns whether the path to all endpoints counts as lost.
    pub(crate) fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns how long the path has been lost.
    pub(crate) fn cut_for(&self, now: Instant) -> Option<Duration> {
        self.cut_since
            .map(|since| now.saturating_duration_since(since))
    }

    /// Returns how long ago an endpoint was last in contact.
    pub(crate) fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.last_contact
            .map(|at| now.saturating_duration_since(at))
    }
}
