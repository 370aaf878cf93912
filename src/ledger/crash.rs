//! Requests that endpoints die of.

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::VmId;

/// How many endpoints a fingerprint may crash before it is quarantined; the second is the last that it costs.
pub(crate) const CRASH_LIMIT: usize = 2;

/// The endpoints that died while they ran requests of one fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Crashes {
    endpoints: IndexSet<VmId>,
    /// How many entries of the expiry speak of it.
    pub(super) noted: u32,
}

impl Crashes {
    /// Notes one more endpoint and tells whether that was news.
    pub(super) fn add(&mut self, endpoint: &VmId) -> bool {
        let is_new = !self.at_limit() && self.endpoints.insert(endpoint.clone());
        self.noted = self.noted.saturating_add(u32::from(is_new));
        is_new
    }

    /// Tells whether no further endpoint should be risked.
    pub(super) fn at_limit(&self) -> bool {
        self.endpoints.len() >= CRASH_LIMIT
    }
}
