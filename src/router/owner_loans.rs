//! Budgets that a few routers own on behalf of a large fleet: what the other routers borrow and return, and what the
//! owners lend.

use std::time::Duration;
use std::time::Instant;

use crate::decide::TEAM_OWNERS;
use crate::ids::Incarnation;
use crate::ids::TeamId;
use crate::router::effect::Effect;
use crate::router::event::LoanRequest;
use crate::router::event::ReplyId;
use crate::router::grant_budget::GrantBudget;
use crate::router::grant_budget::Waiter;
use crate::router::grant_budget::Waiting;
use crate::router::grant_budgets::GrantBudgets;
use crate::router::lending::OWN_COVER;
use crate::router::loans::LoanNeed;
use crate::tokens::Tokens;

/// How often a router looks for budget to return to its owners. Returning it more often would take it away before a
/// caller's next request can use it; less often would leave too much idle across two hundred routers.
const RETURN_INTERVAL: Duration = Duration::from_millis(500);

/// How many round trips' worth of a team's demand is borrowed ahead, but no more than the router keeps for itself.
const ROUND_TRIPS_AHEAD: u32 = 2;

/// The priority of a loan that no request waits for.
const LEAST_URGENT: u8 = 9;

impl GrantBudget {
    /// Returns the expected demand of this router's callers while a loan is in flight, or zero if that is less than one
    /// request of average size.
    fn loan_demand(&self, now: Instant) -> Tokens {
        let time = (self.loans.round_trip() * ROUND_TRIPS_AHEAD).min(OWN_COVER / 2);
        let demand = self.own_rate(now) * time.as_secs_f64();
        match demand > self.mean_reservation {
            true => Tokens(demand as u64),
            false => Tokens::ZERO,
        }
    }
}

impl GrantBudgets {
    /// Requests from a team's owners what its waiting requests lack.
    pub(super) fn borrow_from_owners(
        &mut self,
        now: Instant,
        me: Incarnation,
        team: &TeamId,
    ) -> Option<Effect> {
        let missing = self.shortfall(now, team);
        if missing == Tokens::ZERO {
            return None;
        }
        let left = self.max_left(team);
        let budget = &mut self.budgets[team];
        // With long round trips, each further request would otherwise wait just as long for a loan of its own.
        let ahead = (budget.loans.round_trip() * ROUND_TRIPS_AHEAD).min(OWN_COVER);
        let ahead = budget.own_rate(now) * ahead.as_secs_f64();
        let need = LoanNeed {
            amount: missing.saturating_add(Tokens(ahead as u64)).min(left),
            total_demand: budget.asked,
            priority: budget.most_urgent(),
        };
        let owners = self.ownership.responsive_owners(now, team);
        budget
            .loans
            .request_from_owner(now, me, team, need, &owners)
    }

    /// Marks a team whose remaining budget here would run out before a loan arrives.
    pub(super) fn mark_low(&mut self, now: Instant, team: &TeamId, remaining: Tokens) {
        let borrows = !self.ownership.owners(team).is_empty();
        let budget = &self.budgets[team];
        if borrows && remaining < budget.loan_demand(now) && budget.waiting.is_empty() {
            self.low_teams.insert(team.clone());
        }
    }

    /// Marks a team of whose budget more is in use here than is held, so that its owners are asked for the rest.
    fn mark_overdrawn(&mut self, team: &TeamId) {
        let borrows = !self.ownership.owners(team).is_empty();
        if borrows && self.overdraft(team) > Tokens::ZERO {
            self.low_teams.insert(team.clone());
        }
    }

    /// Requests budget from its owners for teams marked as low, before a request has to wait for it.
    pub(super) fn borrow_ahead(&mut self, now: Instant, me: Incarnation) -> Vec<Effect> {
        let mut effects = Vec::new();
        for team in std::mem::take(&mut self.low_teams) {
            let left = self.max_left(&team);
            let remaining = self.available(now, &team);
            let overdraft = self.overdraft(&team);
            let owners = self.ownership.responsive_owners(now, &team);
            let budget = &mut self.budgets[&team];
            let demand = budget.loan_demand(now);
            let target = demand.saturating_add(demand);
            let missing = target.saturating_sub(remaining);
            let amount = missing.saturating_add(overdraft).min(left);
            if amount == Tokens::ZERO || !budget.waiting.is_empty() {
                continue;
            }
            let need = LoanNeed {
                amount,
                total_demand: budget.asked,
                priority: LEAST_URGENT,
            };
            effects.extend(
                budget
                    .loans
                    .request_from_owner(now, me, &team, need, &owners),
            );
        }
        effects
    }

    /// Returns to its owners the borrowed budget that requests here did not use.
    ///
    /// Two hundred routers that each kept the remainder of one request would hold back seconds of a team's demand.
    pub(crate) fn return_unused(&mut self, now: Instant, me: Incarnation) -> Vec<Effect> {
        if self
            .returned_at
            .is_some_and(|at| now < at + RETURN_INTERVAL)
        {
            return Vec::new();
        }
        self.returned_at = Some(now);
        let teams: Vec<_> = self.budgets.keys().cloned().collect();
        let mut effects = Vec::new();
        for team in teams {
            self.mark_overdrawn(&team);
            let budget = &self.budgets[&team];
            let borrowed = budget.loans.borrowed() > budget.loans.lent();
            if !borrowed || !budget.waiting.is_empty() {
                continue;
            }
            let kept = Tokens((budget.own_rate(now) * OWN_COVER.as_secs_f64()) as u64);
            let idle = self.available(now, &team);
            let owners = self.ownership.responsive_owners(now, &team);
            let budget = &mut self.budgets[&team];
            if idle > kept {
                effects.extend(
                    budget
                        .loans
                        .transfer_to_owner(now, me, &team, idle, &owners),
                );
            }
        }
        effects
    }

    /// Returns whether other routers own a team's budget and one of them may be asked for a loan.
    pub(super) fn is_owned_elsewhere(&self, now: Instant, team: &TeamId) -> bool {
        let owners = self.ownership.responsive_owners(now, team);
        let budget = self.budgets.get(team);
        budget.is_some_and(|budget| budget.loans.can_request_from_owner(now, &owners))
    }

    /// Lends from a budget that this router owns. Borrowers' requests are served like its own.
    pub(super) fn lend_owned(
        &mut self,
        now: Instant,
        id: ReplyId,
        request: &LoanRequest,
    ) -> Option<Tokens> {
        let open = self.available_to(now, &request.team, request.priority);
        let remainder = self.remainder(now, &request.team);
        let log_failing = self.failures > 0;
        let Some(budget) = self.budgets.get_mut(&request.team) else {
            return Some(Tokens::ZERO);
        };
        if let Some(answer) = budget.loans.previous_answer(request) {
            return Some(answer);
        }
        budget.record_loan_demand(now, request, TEAM_OWNERS as u64);
        if budget.join_waiting(id, request) {
            return None;
        }
        if !budget
            .ration
            .admits(now, &remainder, request.priority, request.amount)
        {
            return Some(Tokens::ZERO);
        }
        let is_first = budget.waiting.is_empty();
        if log_failing || is_first && open >= request.amount {
            return Some(self.lend_open(now, request));
        }
        budget.waiting.push_back(Waiting {
            who: Waiter::Loan(vec![id], request.clone()),
            amount: request.amount,
            priority: request.priority,
            since: now,
        });
        None
    }

    /// Lends as much of the requested amount as is open now. Another owner may have the remainder.
    pub(crate) fn lend_open(&mut self, now: Instant, request: &LoanRequest) -> Tokens {
        let open = self.available_to(now, &request.team, request.priority);
        let Some(budget) = self.budgets.get_mut(&request.team) else {
            return Tokens::ZERO;
        };
        if let Some(answer) = budget.loans.previous_answer(request) {
            return answer;
        }
        let lent = budget.loans.lend(request, open);
        budget.record_given(now, lent);
        lent
    }
}
