//! Requests that crash endpoints.

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::VmId;

/// The number of endpoints that requests of one fingerprint may crash: at the second, the fingerprint is quarantined.
pub(crate) const CRASH_LIMIT: usize = 2;

/// The endpoints that crashed while running requests of one fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Crashes {
    endpoints: IndexSet<VmId>,
    /// The number of entries for this fingerprint in the expiry queue.
    pub(super) noted: u32,
}

impl Crashes {
    /// Adds a crashed endpoint and returns whether it was new and below the limit.
    pub(super) fn add(&mut self, endpoint: &VmId) -> bool {
        let is_new = !self.at_limit() && self.endpoints.insert(endpoint.clone());
        self.noted = self.noted.saturating_add(u32::from(is_new));
        is_new
    }

    /// Returns whether the fingerprint is to be quarantined.
    pub(super) fn at_limit(&self) -> bool {
        self.endpoints.len() >= CRASH_LIMIT
    }
}
