//! Failure domains that the operator drains: their endpoints get no new requests until the domain is restored.
//!
//! A router that can't read the store learns of drains from its peers' heartbeats, which carry the whole set and the
//! offset up to which the operator's records were read.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use tracing::info;
use tracing::warn;

use crate::ids::DomainId;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::router::core::Core;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;

/// Retry time for callers whose endpoints are all in drained failure domains: operators drain for some seconds at
/// least.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The set of drained failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DrainedDomains {
    /// The offset up to which the operator's records were read.
    pub(crate) as_of: u64,
    /// The drained domains.
    pub(crate) domains: IndexSet<DomainId>,
}

impl Core {
    /// Applies a set of drained failure domains, from the store or from a peer, if it is newer than the one in force.
    pub(crate) fn update_drained(&mut self, now: Instant, new: &DrainedDomains) {
        if new.as_of <= self.drained_domains.as_of {
            return;
        }
        let old = std::mem::replace(&mut self.drained_domains, new.clone());
        if old.domains == new.domains {
            return;
        }
        for domain in new.domains.difference(&old.domains) {
            let endpoints = self.count_endpoints(domain);
            info!(event = "domain-drained", %domain, endpoints, as_of = new.as_of);
            if endpoints == 0 && !self.pools.is_empty() {
                warn!(event = "domain-unknown", %domain);
            }
        }
        for domain in old.domains.difference(&new.domains) {
            info!(event = "domain-taken-back", %domain, as_of = new.as_of);
            self.restore_domain(now, domain);
        }
        self.rebuild_pools(now);
    }

    /// Counts the endpoints of a failure domain.
    fn count_endpoints(&self, domain: &DomainId) -> usize {
        let pools = self.pools.values();
        pools.map(|pool| pool.endpoints_in(domain).count()).sum()
    }

    /// Marks the endpoints of a failure domain as cold: they had no requests during the drain, and soon report if they
    /// are warm.
    fn restore_domain(&mut self, now: Instant, domain: &DomainId) {
        for (id, pool) in &self.pools {
            let warmup = self.warmup(id);
            for vm in pool.endpoints_in(domain) {
                self.cold_endpoints.mark_restored(now, vm, warmup);
            }
        }
    }

    /// Refuses the requests that wait for a pool all of whose endpoints are in drained failure domains.
    pub(crate) fn refuse_drained_pools(&mut self, now: Instant) {
        let drained = self.pools.iter().filter(|(_, pool)| pool.is_drained());
        let waiting = drained.flat_map(|(_, pool)| pool.places.keys());
        let waiting: Vec<_> = waiting.copied().collect();
        for id in waiting {
            self.refuse_drained_request(now, id);
        }
    }

    /// Returns whether all endpoints of a pool are in drained failure domains.
    pub(crate) fn is_drained(&self, pool: &PoolId) -> bool {
        self.pools.get(pool).is_some_and(|pool| pool.is_drained())
    }

    /// Refuses a request whose pool is drained.
    pub(crate) fn refuse_drained_request(&mut self, now: Instant, id: RequestId) {
        let detail = "the failure domains of all its endpoints are drained";
        let problem = Problem::new(ProblemKind::NoEndpoint, Ran::Unknown, detail);
        self.refuse_with(now, id, problem.with_retry(RETRY_AFTER));
    }
}
