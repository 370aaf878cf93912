//! Tracks which endpoints are cold, from their own reports and after their failure domain was restored.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tracing::info;

use crate::decide::cold_share;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::router::core::Core;

/// How long after its failure domain was restored an endpoint's report that it is warm may date from before.
const STALE_REPORT: Duration = Duration::from_millis(1500);

/// Times until which endpoints are cold.
#[derive(Debug, Default)]
pub(crate) struct ColdEndpoints {
    cold_until: IndexMap<VmId, Instant>,
    /// When an endpoint's failure domain was restored after a drain.
    restored_at: IndexMap<VmId, Instant>,
}

impl ColdEndpoints {
    /// Handles an endpoint's report of how much longer it is cold; returns whether that turns it cold or warm.
    fn handle_report(&mut self, now: Instant, vm: &VmId, left: Duration) -> bool {
        if !left.is_zero() {
            return self.cold_until.insert(vm.clone(), now + left).is_none();
        }
        let restored_at = self.restored_at.get(vm);
        if restored_at.is_some_and(|at| now < *at + STALE_REPORT) {
            return false;
        }
        self.restored_at.swap_remove(vm);
        self.cold_until.swap_remove(vm).is_some()
    }

    /// Records that an endpoint's failure domain was restored; the endpoint counts as cold until it reports otherwise.
    pub(crate) fn mark_restored(&mut self, now: Instant, vm: &VmId, warmup: Duration) {
        self.restored_at.insert(vm.clone(), now);
        let until = self.cold_until.entry(vm.clone()).or_insert(now);
        *until = (*until).max(now + warmup);
    }

    /// Returns until when an endpoint is cold; `None` if it is warm.
    pub(crate) fn cold_until(&self, now: Instant, vm: &VmId) -> Option<Instant> {
        self.cold_until
            .get(vm)
            .copied()
            .filter(|until| now < *until)
    }

    /// Returns whether any endpoint is marked as cold.
    fn has_cold(&self) -> bool {
        !self.cold_until.is_empty()
    }

    /// Drops endpoints that are warm by now.
    fn prune(&mut self, now: Instant) {
        self.cold_until.retain(|_, until| now < *until);
        self.restored_at.retain(|_, at| now < *at + STALE_REPORT);
    }
}

impl Core {
    /// Handles endpoints' reports of how much longer they are cold.
    pub(crate) fn handle_cold_reports(&mut self, now: Instant, reports: &[(VmId, Duration)]) {
        self.cold_endpoints.prune(now);
        let mut changed = false;
        for (vm, left) in reports {
            if self.cold_endpoints.handle_report(now, vm, *left) {
                changed = true;
                info!(event = "endpoint-cold", endpoint = %vm, left_ms = left.as_millis());
            }
        }
        if changed || self.cold_endpoints.has_cold() {
            self.update_cold_shares(now);
        }
        if changed {
            self.serve_all_queues(now);
        }
    }

    /// Updates which endpoints are cold in the pools, and this router's share of each one's request rate.
    pub(crate) fn update_cold_shares(&mut self, now: Instant) {
        let rates: Vec<_> = self.pools.keys().map(|id| self.cold_rate(id)).collect();
        let routers = self.members.vm_index.serving_vms();
        let router = &self.tuning.vm;
        for (pool, rate) in self.pools.values_mut().zip(rates) {
            for vm in pool.addresses.keys() {
                let until = self.cold_endpoints.cold_until(now, vm);
                let share = until.map_or(0, |_| cold_share(rate, &routers, router, vm));
                pool.picker.chooser.set_cold(vm, until, share);
            }
        }
    }

    /// Returns how long an endpoint of a pool is cold after its start.
    pub(crate) fn warmup(&self, pool: &PoolId) -> Duration {
        let pool = self.route_table.as_ref().and_then(|table| table.pool(pool));
        pool.map_or(Duration::ZERO, |pool| pool.warmup)
    }

    /// Returns how many requests a second a cold endpoint of a pool takes.
    pub(crate) fn cold_rate(&self, pool: &PoolId) -> u32 {
        let pool = self.route_table.as_ref().and_then(|table| table.pool(pool));
        pool.map_or(0, |pool| pool.cold_rate)
    }
}
