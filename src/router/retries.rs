//! This router's part of the retries that all routers may send to each pool.

use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::RetryBudget;
use crate::decide::RetryLimit;
use crate::decide::retry_share;
use crate::ids::PoolId;
use crate::router::core::Accounting;
use crate::router::core::Core;
use crate::router::core::Phase;

/// Share of the retries allowed regardless of requests that the routers of one VM list divide among themselves. Routers
/// that are cut off divide another half by the list that they read last.
const SPARE_SHARE: f64 = 0.5;

/// The retries of all routers at a pool that are allowed in a window regardless of requests, where the ledger accounts
/// for budgets.
const LEDGER_SPARE: f64 = 100.0;

impl Core {
    /// Returns a pool's retry budget.
    pub(crate) fn retry_budget(&mut self, now: Instant, pool: &PoolId) -> &mut RetryBudget {
        if !self.retry_budgets.contains_key(pool) {
            let budget = RetryBudget::new(now, self.retry_limit(pool));
            self.retry_budgets.insert(pool.clone(), budget);
        }
        &mut self.retry_budgets[pool]
    }

    /// Sets this router's part of the retries at each pool, and drops the budgets of pools that are gone.
    pub(crate) fn update_retry_limits(&mut self, now: Instant) {
        let pools = &self.pools;
        self.retry_budgets
            .retain(|pool, budget| pools.contains_key(pool) || !budget.is_idle(now));
        let budgets = self.retry_budgets.keys();
        let pools: IndexSet<_> = budgets.chain(self.pools.keys()).cloned().collect();
        for pool in pools {
            let limit = self.retry_limit(&pool);
            self.retry_budget(now, &pool).set_limit(now, limit);
        }
    }

    /// Returns this router's part of the retries at a pool. One that is not listed yet, or that leaves, has no part of
    /// those that are allowed regardless of requests, since other routers may not count it.
    fn retry_limit(&self, pool: &PoolId) -> RetryLimit {
        let fleet = match self.tuning.accounting {
            Accounting::Grants(tuning) => tuning.retries,
            Accounting::Ledger => RetryLimit {
                spare: LEDGER_SPARE,
                ..RetryLimit::default()
            },
        };
        let me = &self.tuning.vm;
        let counted = self.members.is_listed(me) && !matches!(self.phase, Phase::Draining { .. });
        let routers = self.members.vm_index.serving_vms();
        let spare = match counted {
            true => retry_share(fleet.spare * SPARE_SHARE, &routers, me, pool),
            false => 0.0,
        };
        RetryLimit { spare, ..fleet }
    }
}
