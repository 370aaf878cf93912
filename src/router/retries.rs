//! This router's part of the retries that all routers may send to each pool.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use tracing::info;
use tracing::warn;

use crate::decide::ExpiredRun;
use crate::decide::PendingRetry;
use crate::decide::RetryBudget;
use crate::decide::RetryLimit;
use crate::decide::retry_share;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::core::Accounting;
use crate::router::core::Core;
use crate::router::core::Phase;
use crate::router::request::State;
use crate::router::run_end::Failure;
use crate::router::run_end::RunEnd;

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
            let limit = self.retry_limit(pool);
            self.log_retry_limit(pool, limit);
            let budget = RetryBudget::new(now, limit);
            self.retry_budgets.insert(pool.clone(), budget);
        }
        &mut self.retry_budgets[pool]
    }

    /// Records that the run for which a request was last retried has been answered or is over. The retry has arrived, or
    /// can't arrive any more, unless a run of the request is unread.
    pub(crate) fn settle_retry(&mut self, now: Instant, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id)
            && let Some(retry) = request.retry.take()
            && let Some(retry) = self.unread.hold(id, retry)
        {
            let pool = request.pool.clone();
            self.retry_budget(now, &pool).settle(now, retry);
        }
    }

    /// Records whether an endpoint has read a request whose run ended, or may still read it.
    pub(crate) fn record_run_read(&mut self, now: Instant, id: RequestId, end: &RunEnd) {
        let request = &self.requests[&id];
        let State::Running {
            endpoint,
            first_token,
            ..
        } = &request.state
        else {
            return;
        };
        let answered = match end {
            RunEnd::Completed { .. } | RunEnd::Answered { .. } => true,
            // Where the ledger accounts for budgets, it may mean that there was no connection.
            RunEnd::NotRun { .. } => request.relay.is_some(),
            _ => false,
        };
        let unread = match end {
            RunEnd::Failed { failure, .. } => *failure == Failure::Silent,
            RunEnd::CallerGone { .. } => first_token.is_none(),
            _ => false,
        };
        if answered {
            self.record_read(now, id);
        } else if unread {
            let endpoint = endpoint.clone();
            self.unread.record_run(now, id, &request.pool, endpoint);
        }
    }

    /// Records that the endpoint that a request runs at answered it, and so has read what was given up there before.
    pub(crate) fn record_read(&mut self, now: Instant, id: RequestId) {
        if let Some(request) = self.requests.get(&id)
            && let State::Running {
                endpoint, since, ..
            } = &request.state
        {
            self.former_lives.record_answer(endpoint, *since);
            let released = self.unread.record_answer(endpoint, *since);
            self.settle_retries(now, released);
        }
    }

    /// Ends the runs that have counted as unread for long enough.
    pub(crate) fn expire_unread(&mut self, now: Instant) {
        let index = &self.members.vm_index;
        // A list that the platform can't change any more says nothing about endpoints.
        let current = !self.may_be_behind(now);
        let is_listed = |vm: &VmId| current && index.entry(vm).is_some();
        let unread = &self.unread;
        self.former_lives.expire(now, |endpoint, since| {
            unread.read_by(endpoint, since, is_listed(endpoint))
        });
        let expired = self.unread.expire(now, is_listed);
        if expired.is_empty() {
            return;
        }
        for run in expired {
            let ExpiredRun {
                request,
                endpoint,
                listed,
            } = run;
            info!(event = "unread-expired", %request, %endpoint, listed);
        }
        let released = self.unread.release();
        self.settle_retries(now, released);
    }

    /// Records that a former life of this router is listed.
    pub(crate) fn handle_former_life(&mut self, now: Instant) {
        info!(event = "former-life", vm = %self.tuning.vm);
        self.former_lives.record_own(now);
    }

    /// Counts the retries that former lives may have left unread at endpoints.
    pub(crate) fn count_former_lives(&mut self, now: Instant) {
        let routers = self.members.vm_index.serving_vms().len();
        for vm in self.members.take_ended(now) {
            info!(event = "former-life", %vm);
            self.former_lives.record_peer(now, routers);
        }
        self.former_lives.advance(now);
        let mut new = Vec::new();
        for (name, pool) in &self.pools {
            let lives = self.former_lives.inherit(name, pool.addresses.keys());
            new.extend(lives.into_iter().map(|life| (name.clone(), life)));
        }
        for (pool, life) in new {
            self.retry_budget(now, &pool)
                .inherit(now, life.number, life.share);
        }
        for (pool, life) in self.former_lives.take_read(now) {
            info!(event = "former-life-read", %pool);
            self.retry_budget(now, &pool).settle_inherited(now, life);
        }
    }

    fn settle_retries(&mut self, now: Instant, retries: Vec<(PoolId, PendingRetry)>) {
        for (pool, retry) in retries {
            self.retry_budget(now, &pool).settle(now, retry);
        }
    }

    /// Has spare retries pay for those that have not arrived and that requests do not pay for any more.
    pub(crate) fn cover_pending_retries(&mut self, now: Instant) {
        for (pool, budget) in &mut self.retry_budgets {
            let mut uncovered = budget.uncovered(now);
            let requests = self.requests.iter_mut();
            let requests = requests.filter(|(_, request)| request.pool == *pool);
            let running = requests.filter_map(|(id, request)| Some((*id, request.retry.as_mut()?)));
            for (id, retry) in running.chain(self.unread.held_mut(pool)) {
                if uncovered <= 0.0 {
                    break;
                }
                if !budget.cover(now, retry) {
                    warn!(event = "retry-uncovered", request = %id, %pool);
                }
                uncovered = budget.uncovered(now);
            }
        }
    }

    /// Moves what was counted into the past, by a time that the clock did not count.
    pub(crate) fn skip_retry_windows(&mut self, time: Duration) {
        self.retry_budgets
            .values_mut()
            .for_each(|budget| budget.skip(time));
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
            let budget = self.retry_budget(now, &pool);
            if budget.limit() != limit {
                budget.set_limit(now, limit);
                self.log_retry_limit(&pool, limit);
            }
        }
    }

    /// Logs this router's part of the retries at a pool, by which the parts of all routers can be added up.
    fn log_retry_limit(&self, pool: &PoolId, limit: RetryLimit) {
        let RetryLimit { ratio, spare, .. } = limit;
        let window_ms = limit.window.as_millis();
        let routers = self.members.vm_index.serving_vms().len();
        info!(event = "retry-limit", %pool, ratio, spare, window_ms, routers);
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
