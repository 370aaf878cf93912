//! Which endpoints are cold, by their own word and by how they came into use.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tracing::info;

use crate::decide::cold_share;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::router::core::Core;

/// How long after a failure domain was taken back an endpoint's word that it is warm may be one from before.
const OLD_WORD: Duration = Duration::from_millis(1500);

/// Until when endpoints are cold.
#[derive(Debug, Default)]
pub(crate) struct ColdEndpoints {
    until: IndexMap<VmId, Instant>,
    /// When an endpoint's failure domain was taken back.
    returned: IndexMap<VmId, Instant>,
}

impl ColdEndpoints {
    /// Takes in an endpoint's word of how much longer it is cold; returns whether it turns cold or warm with that.
    fn said(&mut self, now: Instant, vm: &VmId, left: Duration) -> bool {
        if !left.is_zero() {
            return self.until.insert(vm.clone(), now + left).is_none();
        }
        let old = self.returned.get(vm);
        if old.is_some_and(|at| now < *at + OLD_WORD) {
            return false;
        }
        self.returned.swap_remove(vm);
        self.until.swap_remove(vm).is_some()
    }

    /// Notes that an endpoint's failure domain was taken back, after which it is cold unless it says otherwise.
    pub(crate) fn taken_back(&mut self, now: Instant, vm: &VmId, warmup: Duration) {
        self.returned.insert(vm.clone(), now);
        let until = self.until.entry(vm.clone()).or_insert(now);
        *until = (*until).max(now + warmup);
    }

    /// Returns until when an endpoint is cold, if it is.
    pub(crate) fn until(&self, now: Instant, vm: &VmId) -> Option<Instant> {
        self.until.get(vm).copied().filter(|until| now < *until)
    }

    /// Returns whether any endpoint is cold.
    fn any(&self) -> bool {
        !self.until.is_empty()
    }

    /// Forgets the endpoints that are warm by now.
    fn forget(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
        self.returned.retain(|_, at| now < *at + OLD_WORD);
    }
}

impl Core {
    /// Takes in endpoints' words of how much longer they are cold.
    pub(crate) fn endpoints_cold(&mut self, now: Instant, words: &[(VmId, Duration)]) {
        self.cold_endpoints.forget(now);
        let mut changed = false;
        for (vm, left) in words {
            if self.cold_endpoints.said(now, vm, *left) {
                changed = true;
                info!(event = "endpoint-cold", endpoint = %vm, left_ms = left.as_millis());
            }
        }
        if changed || self.cold_endpoints.any() {
            self.share_cold(now);
        }
        if changed {
            self.serve_all_queues(now);
        }
    }

    /// Takes over which endpoints are cold, and this router's share of what each of them bears.
    pub(crate) fn share_cold(&mut self, now: Instant) {
        let rates: Vec<_> = self.pools.keys().map(|id| self.cold_rate(id)).collect();
        let routers = self.members.vm_index.serving_vms();
        let router = &self.tuning.vm;
        for (pool, rate) in self.pools.values_mut().zip(rates) {
            for vm in pool.addresses.keys() {
                let until = self.cold_endpoints.until(now, vm);
                let share = until.map_or(0, |_| cold_share(rate, &routers, router, vm));
                pool.picker.chooser.cool(vm, until, share);
            }
        }
    }

    /// Returns how long an endpoint of a pool is cold that has just started.
    pub(crate) fn warmup(&self, pool: &PoolId) -> Duration {
        let pool = self.route_table.as_ref().and_then(|table| table.pool(pool));
        pool.map_or(Duration::ZERO, |pool| pool.warmup)
    }

    /// Returns how many requests a second a cold endpoint of a pool bears.
    pub(crate) fn cold_rate(&self, pool: &PoolId) -> u32 {
        let pool = self.route_table.as_ref().and_then(|table| table.pool(pool));
        pool.map_or(0, |pool| pool.cold_rate)
    }
}
