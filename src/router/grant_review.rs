//! Periodic reviews that adjust this router's grants and renew their paces.

use std::time::Duration;
use std::time::Instant;

use crate::decide;
use crate::decide::BudgetView;
use crate::decide::FLEET_OWNERS;
use crate::decide::HoldingAction;
use crate::decide::ReleaseLimit;
use crate::decide::TEAM_OWNERS;
use crate::escrow::GrantChange;
use crate::escrow::GrantRow;
use crate::escrow::SpendPace;
use crate::ids::TeamId;
use crate::router::grant_budget::GrantBudget;
use crate::router::grant_budgets::DEMAND_COVER;
use crate::router::grant_budgets::GrantBudgets;
use crate::tokens::Tokens;

/// A review renews a pace if the required rate has changed by more than this fraction.
const MIN_RATE_CHANGE: f64 = 0.25;

/// A pace is also renewed once it has opened unused budget for this long.
const MAX_OPENING_TIME: Duration = Duration::from_millis(500);

/// How much demand a stopping router keeps covered: that of its last callers until they learn of other routers.
const WIND_DOWN_COVER: Duration = Duration::from_secs(2);

/// How often grants are adjusted to the policy and paces are renewed if no request waits. Budget that a pace opens
/// between two renewals is stranded if the router crashes; a call to the log costs as much as a hundredth of a request
/// is worth.
const REVIEW_INTERVAL: Duration = Duration::from_millis(300);

/// The shortest interval between reviews of all routers taken together; the routers of a larger fleet each review less
/// often. All of them append to one partition on the condition that nobody else has appended in the meantime. A router
/// whose append fails this condition has to read and write again.
const FLEET_REVIEW_INTERVAL: Duration = Duration::from_millis(33);

/// Whether a router is stopping, as far as its budgets are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// The router is not stopping.
    Running,
    /// The router was told to stop. A declining number of callers still arrives, and budget that they do not need is
    /// returned.
    WindingDown,
    /// All budget that no request in progress needs is returned.
    Releasing,
}

impl GrantBudgets {
    /// Starts returning budget that the remaining callers will not need.
    pub(crate) fn wind_down(&mut self) {
        self.stop_phase = StopPhase::WindingDown;
        self.reviewed_at = None;
    }

    /// Starts returning budget that no request in progress needs.
    pub(crate) fn release_idle(&mut self) {
        self.stop_phase = StopPhase::Releasing;
        self.reviewed_at = None;
    }

    /// Returns whether all budget that is not in use has been returned or transferred.
    pub(crate) fn has_released_all(&self) -> bool {
        let teams = self.budgets.keys();
        let mut idle = teams.map(|team| self.held(team).min(self.grant_state.granted(team)));
        let transferring = self
            .budgets
            .values()
            .any(|a| a.loans.has_unconfirmed_transfers());
        let settled = self.grant_state.pending().is_none() || self.failures > 0;
        settled && !transferring && idle.all(|idle| idle == Tokens::ZERO)
    }

    /// Returns whether the grants are due for a review.
    pub(super) fn is_review_due(&self, now: Instant) -> bool {
        let writers = u32::try_from(self.writer_count()).unwrap_or(u32::MAX);
        let interval = FLEET_REVIEW_INTERVAL
            .saturating_mul(writers)
            .max(REVIEW_INTERVAL);
        self.reviewed_at.is_none_or(|at| now >= at + interval)
    }

    /// Returns whether writes to the log are limited, so that unused budget is returned in as few of them as possible.
    /// With few routers there is no such limit, and requests that wait elsewhere get the budget sooner.
    fn limits_log_writes(&self) -> bool {
        !self.ownership.is_owned_by_all()
    }

    /// Returns whether requests at other routers may wait for a team's budget that is idle here.
    fn is_needed_elsewhere(&self, team: &TeamId) -> bool {
        !self.limits_log_writes() && self.peer_budgets.demand(team) > 0.0
    }

    fn writer_count(&self) -> usize {
        match self.ownership.is_owned_by_all() {
            true => self.peer_budgets.peer_count() + 1,
            false => FLEET_OWNERS,
        }
    }

    /// Returns the number of routers that share a team's budget.
    fn sharer_count(&self, team: &TeamId) -> usize {
        match self.ownership.owns_for_all(team) {
            true => TEAM_OWNERS,
            false => self.peer_budgets.peer_count() + 1,
        }
    }

    /// Returns the grants to be changed or whose pace is to be renewed: at a review all that differ from the policy,
    /// otherwise those that keep a request waiting.
    pub(super) fn grant_changes(&self, now: Instant, due: bool) -> Vec<GrantChange> {
        if !self.ownership.knows_routers() {
            return Vec::new();
        }
        let made = self.clock.reading(now);
        let changes = self.budgets.iter().filter_map(|(team, budget)| {
            let old = self.grant_state.granted(team);
            let granted = self.target_grant(now, team, budget);
            // Returning unused budget along with every call made for another team's request would take up most of the
            // partition's throughput.
            let is_surplus = granted < old && budget.waiting.is_empty();
            if is_surplus && !due && !self.is_needed_elsewhere(team) {
                return None;
            }
            let limit = self.release_limit(now, team, budget, granted);
            let pace = SpendPace {
                made: made.own,
                used: budget.in_use(),
                room: budget.wanted().saturating_add(limit.burst),
                rate: limit.rate,
                fleet: made.fleet,
            };
            let renewed = match due {
                true => self.is_outdated(now, team, budget, &pace),
                false => budget.wanted() > self.available(now, team),
            };
            let row = GrantRow {
                granted,
                spent: self.reported_spent(budget),
                pace: Some(pace),
            };
            let covered = budget.wanted() <= self.held(team);
            let change = granted != old || renewed && (due || covered);
            change.then(|| GrantChange {
                team: team.clone(),
                row,
            })
        });
        changes.collect()
    }

    /// Returns how much of a grant is reported to other routers as spent. What an owner lends is spent by routers that
    /// write no grants themselves. If every router owns every budget, each borrower reports its own spending.
    fn reported_spent(&self, budget: &GrantBudget) -> Tokens {
        match self.ownership.is_owned_by_all() {
            true => budget.spent,
            false => budget.net_spent(),
        }
    }

    /// Returns what a grant should be according to the policy.
    fn target_grant(&self, now: Instant, team: &TeamId, budget: &GrantBudget) -> Tokens {
        let granted = self.grant_state.granted(team);
        let free = self.held(team);
        if self.is_owned_elsewhere(now, team) {
            return granted - free.min(granted);
        }
        // What is used without a limit is on record when the limit comes.
        if !budget.is_limited() {
            return budget.in_use();
        }
        let undrawn = self.grant_state.undrawn(team, budget.prepaid());
        let overdraft = budget.overdraft(granted).min(undrawn);
        if overdraft > Tokens::ZERO {
            return granted + overdraft;
        }
        if self.stop_phase != StopPhase::Running && budget.waiting.is_empty() {
            let kept = self.kept_on_stop(now, budget);
            return granted - free.saturating_sub(kept).min(granted);
        }
        let share = BudgetView {
            free,
            claimed: budget.reserved(),
            undrawn,
            routers: self.sharer_count(team),
            demand: budget.rate(now),
            team_demand: budget.rate(now) + self.peer_budgets.demand(team),
            wanted: budget.wanted(),
            reachable: true,
        };
        match self.policy.decide(&share) {
            HoldingAction::Draw(amount) if !budget.is_negligible(amount) => granted + amount,
            HoldingAction::Return(_) if budget.waiting.is_empty() && self.limits_log_writes() => {
                granted - self.amount_to_return(budget, share).min(granted)
            }
            HoldingAction::Return(amount) if !budget.is_negligible(amount) => {
                granted - amount.min(free).min(granted)
            }
            HoldingAction::Draw(_) | HoldingAction::Return(_) | HoldingAction::None => granted,
        }
    }

    /// Returns the total of the policy's successive returns for a budget without waiting requests here. It combines all
    /// steps that no draw would follow into one write.
    fn amount_to_return(&self, budget: &GrantBudget, mut share: BudgetView) -> Tokens {
        let mut returned = Tokens::ZERO;
        while let HoldingAction::Return(amount) = self.policy.decide(&share) {
            let amount = amount.min(share.free);
            if budget.is_negligible(amount) {
                break;
            }
            let next = BudgetView {
                free: share.free - amount,
                undrawn: share.undrawn.saturating_add(amount),
                ..share
            };
            if let HoldingAction::Draw(_) = self.policy.decide(&next) {
                break;
            }
            returned += amount;
            share = next;
        }
        returned
    }

    /// Returns what a stopping router keeps beyond what is in use.
    fn kept_on_stop(&self, now: Instant, budget: &GrantBudget) -> Tokens {
        match self.stop_phase {
            StopPhase::WindingDown => {
                Tokens((budget.rate(now) * WIND_DOWN_COVER.as_secs_f64()) as u64)
            }
            StopPhase::Running | StopPhase::Releasing => Tokens::ZERO,
        }
    }

    /// Returns how fast a grant is to be released.
    fn release_limit(
        &self,
        now: Instant,
        team: &TeamId,
        budget: &GrantBudget,
        granted: Tokens,
    ) -> ReleaseLimit {
        let drawn = granted.saturating_sub(self.grant_state.granted(team));
        let held = self.held(team).saturating_add(drawn);
        let flow = budget.outflow_rate(now).min(budget.rate(now));
        decide::release_limit(flow, held, DEMAND_COVER)
    }

    /// Returns whether the pace on record no longer fits.
    ///
    /// The pace of a budget without demand opens all the same. If it were never renewed, a crash of the router would
    /// strand everything opened since.
    fn is_outdated(
        &self,
        now: Instant,
        team: &TeamId,
        budget: &GrantBudget,
        new: &SpendPace,
    ) -> bool {
        let row = self.grant_state.row(team);
        let Some(old) = row.pace else {
            return row.granted > Tokens::ZERO;
        };
        let rate = old.rate.0.abs_diff(new.rate.0) as f64;
        let rate_changed = rate > old.rate.0 as f64 * MIN_RATE_CHANGE;
        let open = self
            .grant_state
            .usable_at(team, &self.clock.own_reading(now));
        let opened = open.saturating_sub(new.used.saturating_add(new.room));
        let stale = opened > new.rate.over(MAX_OPENING_TIME) && budget.is_worth_writing(opened);
        row.granted > new.used.min(old.used) && (old.used != new.used || rate_changed || stale)
    }
}
